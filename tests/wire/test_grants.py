import unittest

import hypothesis
from hypothesis import strategies as st
import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import quotas
from gypsumbridge_wire import grants
from gypsumbridge_wire import holders
from tests.wire import hostile

Request = quotas.GrantRequest
Reply = quotas.GrantReply
LONGEST_REQUEST = Request(
    grants.MAX_PARTITIONS - 1,
    'x' * grants.MAX_CUSTOMER_BYTES,
    grants.MAX_TOKENS,
)
LONGEST_REPLY = Reply(
    0,
    grants.MAX_LIFETIME_MS,
    grants.MAX_RETRY_AFTER_MS,
    'x' * grants.MAX_REFUSAL_BYTES,
)
VALID = (
    Request(4, 'c', 2),
    Request(0, '', 0),
    LONGEST_REQUEST,
    Reply(12, 900),
    LONGEST_REPLY,
)
OUT_OF_RANGE = (
    Request(-1, 'a', 1),
    Request(grants.MAX_PARTITIONS, 'a', 1),
    Request(0, 'a', -1),
    Request(0, 'a', grants.MAX_TOKENS + 1),
    Request(0, 'ü' * 129, 1),
    Request(0, 'a\r\nb', 1),
    Request(0, '', 1),
    Reply(-1),
    Reply(grants.MAX_TOKENS + 1),
    Reply(1, grants.MAX_LIFETIME_MS + 1),
    Reply(1, -1),
    Reply(retry_after_ms=-1),
    Reply(retry_after_ms=2**63),
    Reply(refusal='x' * 101),
    Reply(1, 900, refusal='not_holder'),
)
CODECS = {
    Request: (grants.encode_request, grants.decode_request),
    Reply: (grants.encode_reply, grants.decode_reply),
}


class GrantsTest(unittest.TestCase):
    def test_requests_and_replies_survive_the_codec(self):
        """Guards against fields that are lost, and messages that are long."""
        for value in VALID:
            encode, decode = CODECS[type(value)]
            body = encode(value)
            self.assertEqual(value, decode(body))
            self.assertLess(len(body), 300)

    def test_values_out_of_range_are_refused(self):
        """Guards against a grant that lasts forever or for all customers."""
        for value in OUT_OF_RANGE:
            encode, decode = CODECS[type(value)]
            with self.subTest(value=value):
                with self.assertRaises(errors.FrameError) as caught:
                    encode(value)
                self.assertTrue(caught.exception.remedy)
                with self.assertRaises(errors.FrameError):
                    decode(msgspec.msgpack.encode(value))

    @hostile.SETTINGS
    @hypothesis.given(
        st.one_of(
            st.binary(max_size=40),
            hostile.mutated(
                st.sampled_from(VALID).map(msgspec.msgpack.encode)
            ),
            hostile.messages_of(Request).map(msgspec.msgpack.encode),
            hostile.messages_of(Reply).map(msgspec.msgpack.encode),
            st.just(b'\x91' * 50_000),
        )
    )
    def test_any_bytes_give_a_valid_message_or_a_frame_error(self, body):
        """Guards against another exception, and against invalid numbers."""
        for encode, decode in CODECS.values():
            try:
                found = decode(body)
            except errors.FrameError:
                continue
            self.assertEqual(found, decode(encode(found)))

    def test_entries_name_a_holder_or_nobody(self):
        """Guards against an entry that makes every node fail."""
        record = quotas.HolderRecord(3, 'node-1', 7, 0)
        value = holders.encode_holder(record)
        self.assertEqual(b'{"node_id":"node-1","claim":7}', value)
        self.assertEqual(record, holders.decode_holder(3, value))
        for value in (
            b'[' * 50_000,
            b'{}',
            b'{"node_id": "", "claim": 1}',
            b'{"node_id": "%s", "claim": 1}' % (b'x' * 129),
            b'{"node_id": "a", "claim": -1}',
            b'{"node_id": "a", "claim": 9007199254740993}',
            b'{"node_id": 4, "claim": 1}',
        ):
            with self.assertRaises(errors.FrameError):
                holders.decode_holder(0, value)
