import dataclasses
import unittest

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import forwarding
from gypsumbridge_wire import delegated_reply
from gypsumbridge_wire import delegation

REQUEST = forwarding.DelegatedRequest(
    forwarding.CallerRequest(
        4,
        'r',
        'GET',
        'a.example',
        '/x?y',
        (('A', 'b'),),
        b'\x00body',
        300,
        7,
        1.5,
        customer='gold',
        rank=0,
    ),
    9,
    ('s1',),
    12,
)
RESPONSE = forwarding.CallerResponse(
    4,
    200,
    (),
    b'\xffbody',
    part_signatures=('a', 'b'),
    missing_parts=1,
    statements=(forwarding.SearcherStatement('s1-d1', False, 1_500),),
)


class DelegationTest(unittest.TestCase):
    def test_requests_and_replies_survive_the_codec(self):
        """Guards against fields that are lost between nodes."""
        body = delegation.encode_request(REQUEST)
        self.assertEqual(REQUEST, delegation.decode_request(body))
        for reply in (
            delegated_reply.DelegatedReply('', RESPONSE, 12),
            delegated_reply.DelegatedReply('draining', None, 12),
        ):
            body = delegation.encode_reply(reply)
            self.assertEqual(reply, delegation.decode_reply(body))

    def test_replies_are_exchanged_with_older_releases(self):
        """Guards against lost gathers while a fleet is being upgraded."""
        older = {'refusal': '', 'response': RESPONSE}
        self.assertEqual(
            delegated_reply.DelegatedReply('', RESPONSE),
            delegation.decode_reply(msgspec.msgpack.encode(older)),
        )
        reply = delegated_reply.DelegatedReply('', RESPONSE, 12)
        read = msgspec.msgpack.decode(delegation.encode_reply(reply))
        self.assertEqual(
            ('', 200), (read['refusal'], read['response']['status'])
        )

    def test_a_changed_response_is_refused(self):
        """Guards against records of two requests in one response."""
        reply = delegated_reply.DelegatedReply('', RESPONSE, 12)
        body = delegation.encode_reply(reply)
        changed = body.replace(b'\xffbody', b'\xffBODY')
        self.assertNotEqual(body, changed)
        with self.assertRaises(errors.FrameError):
            delegation.decode_reply(changed)

    def test_other_bytes_are_refused(self):
        """Guards against an exception that is no FrameError."""
        empty = delegated_reply.DelegatedReply('', None)
        uneven = delegated_reply.DelegatedReply(
            '', dataclasses.replace(RESPONSE, part_services=('s1',))
        )
        bodies = (
            b'',
            b'\x81',
            b'\x91' * 50_000,
            b'\xff' * 9,
            delegation.encode_reply(empty),
            delegation.encode_reply(uneven),
        )
        for body in bodies:
            with self.subTest(body=body[:4]):
                with self.assertRaises(errors.FrameError):
                    delegation.decode_request(body)
                with self.assertRaises(errors.FrameError):
                    delegation.decode_reply(body)
