"""JSON codecs of mutations, and of claims in the store."""

import json
import unittest

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_wire import caller
from gypsumbridge_wire import store

CLAIM = messages.Claim(
    phase=messages.ClaimPhase.DONE,
    claimant='node',
    nonce='n',
    fingerprint='f',
    key_expires_at_ms=5,
    send_before_ms=4,
    outcome=messages.ClaimOutcome.RAN,
    payload=b'{"a":1}',
)
BODY = {
    'service': 's',
    'shard': 'x',
    'rank': 'r',
    'deadline_ms': 10,
    'idempotency_key': 'k/1',
    'key_expires_at_ms': 99,
    'mutation': {'a': 1},
}


class MutationCodecTest(unittest.TestCase):
    def test_a_claim_is_unchanged_by_encoding_and_decoding(self):
        """Guards against an outcome that the codec changes."""
        call = messages.ClaimCall(
            't', messages.StoreOperation.WRITE, 'k/1', CLAIM, 3
        )
        request = store.encode_claim_call(call)
        self.assertEqual(3, request.expected_revision)
        item = messages.StoreItem(request.key, request.value, 4)
        reply = messages.StoreReply('t', messages.StoreStatus.OK, 4, (item,))
        decoded = store.decode_claim_reply(reply)
        expected = messages.ClaimItem('k/1', CLAIM, 4)
        self.assertEqual((expected,), decoded.items)

    def test_listed_bucket_holds_the_key(self):
        """Guards against claims that no sweep lists."""
        key = store.encode_claim_key('k/1')
        listed = messages.ClaimCall(
            't', messages.StoreOperation.LIST, key.split('/')[1]
        )
        prefix = store.encode_claim_call(listed).key
        self.assertEqual(prefix + 'k/1', key)

    def test_invalid_value_is_an_error(self):
        """Guards against an invalid claim that is treated as absent."""
        item = messages.StoreItem('claims/1/k', '{}', 4)
        reply = messages.StoreReply('t', messages.StoreStatus.OK, 4, (item,))
        with self.assertRaises(errors.FrameError):
            store.decode_claim_reply(reply)

    def test_mutation_body(self):
        """Guards against lost fields and a wrong default."""
        decoded = caller.decode_mutation(json.dumps(BODY).encode(), 'm')
        self.assertEqual(b'{"a": 1}', decoded.body)
        self.assertFalse(decoded.first_attempt)
        self.assertEqual('m', decoded.request_id)

    def test_invalid_keys_are_rejected(self):
        """Guards against keys that split a header or miss a shared claim."""
        for key in ('', 'a\r\nb', 'k ', 'é', 'k' * 257):
            body = json.dumps(BODY | {'idempotency_key': key}).encode()
            with self.assertRaises(errors.RequestError, msg=key):
                caller.decode_mutation(body, 'm')

    def test_answer_and_resolve(self):
        """Guards against a repeated answer that is not marked as recorded."""
        answer = messages.MutationAnswer('m', 'r', 'k', True, CLAIM)
        body = json.loads(caller.encode_mutation_answer(answer)[1])
        self.assertEqual('recorded', body['status'])
        self.assertEqual({'a': 1}, body['result'])
        with self.assertRaises(errors.RequestError):
            caller.decode_resolve(b'{"outcome":"unknown"}', 'k', 'm')
        resolve = caller.decode_resolve(
            b'{"outcome":"not_run","operator":"o"}', 'k', 'm'
        )
        self.assertEqual(messages.ClaimOutcome.NOT_RUN, resolve.outcome)
