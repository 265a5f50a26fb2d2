import dataclasses
import json
import unittest

import hypothesis
from hypothesis import strategies as st

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_wire import caller
from gypsumbridge_wire import endpoint
from gypsumbridge_wire import host_list
from gypsumbridge_wire import operator
from gypsumbridge_wire import peer
from gypsumbridge_wire import store
from tests.wire import hostile

BATCH = messages.ShardBatch(
    'n', 'q', 1, 's', 'v1', 'r', 'c', 10, 0.5, 1, b'', ()
)
MEMBER = messages.Member('n', 'fd-a', '127.0.0.1:1', '127.0.0.1:2')
DEEP = b'[' * 100_000 + b']' * 100_000
QUERY = {'service': 's', 'rank': 'r', 'query': 1, 'deadline_ms': 1}
MUTATION = {
    **QUERY,
    'mutation': 1,
    'shard': 'x',
    'idempotency_key': 'k',
    'key_expires_at_ms': 9,
}
SPECS = (
    {'name': 'x', 'urgency': 1, 'floor': 0.1, 'target_ms': 9},
    {'name': 'x', 'versions': [{'name': 'v', 'shards': {'s': 'r'}}]},
    {'name': 'x', 'service': 's', 'replica_set': 'r', 'port': 1},
)
ITEM = {'key': 'config/ranks/x', 'value': '{}', 'revision': 1}
HOST = {
    'name': 'n',
    'role': 'node',
    'failure_domain': 'fd-a',
    'peer_address': '127.0.0.1:1',
    'http_address': '127.0.0.1:2',
    'leaving': False,
}
CLAIM = {
    'phase': 'claimed',
    'claimant': 'n',
    'nonce': 'n',
    'fingerprint': 'f',
    'key_expires_at_ms': 1,
    'send_before_ms': 1,
}
REQUEST = messages.EndpointRequest(
    1, 'e', '127.0.0.1', 1, 2, 's', 'v', 10, b'', ''
)


def replaced(example):
    """Return a strategy for bodies with one or two fields replaced."""
    keys = st.sampled_from([*example, 'extra'])
    values = st.one_of(hostile.JSON, st.sampled_from([10**30, -1, 1e300]))
    changes = st.dictionaries(keys, values, max_size=2)
    return changes.map(lambda c: json.dumps({**example, **c}).encode())


def bodies(*examples):
    """Return a strategy for valid and invalid bodies."""
    edited = st.one_of([replaced(example) for example in examples])
    return st.one_of(
        st.binary(),
        st.sampled_from(
            [DEEP, b'{"x":' + DEEP + b'}', b'"\xff"', b'"\\ud800"']
        ),
        hostile.JSON.map(lambda value: json.dumps(value).encode()),
        edited,
        hostile.mutated(edited),
    )


class HostileBytesTest(unittest.TestCase):
    """Guards against unexpected exceptions, which would end a task's work."""

    def decode(self, function, *arguments):
        """Return the value, or None for an error with a remedy."""
        try:
            return function(*arguments)
        except errors.GypsumbridgeError as error:
            self.assertTrue(error.remedy)
            return None

    @hostile.SETTINGS
    @hypothesis.given(hostile.frames())
    def test_peer_frames(self, frames):
        """Guards against frames that end a task or cannot be sent on."""
        message = self.decode(peer.decode, frames)
        if message is not None:
            self.assertEqual(message, peer.decode(peer.encode(message)))

    def test_values_out_of_range(self):
        """Guards against accepting values that decode but no node sends."""
        calls = tuple(messages.ShardCall(f's{n}', 'r') for n in range(100_000))
        wrong = [
            ('remaining_ms', (-1, 86_400_001, 2**63)),
            ('admission_key', (float('nan'), float('inf'), -0.1, 65.0)),
            ('sender', ('', 'x' * 2_000)),
            ('version', ('v\r\nX: y', '\u1200')),
            ('attempt', (-1, 2**64 - 1)),
            ('calls', (calls, (messages.ShardCall('', 'r'),))),
        ]
        self.assertEqual(BATCH, peer.decode(peer.encode(BATCH)))
        for field, value in ((f, v) for f, values in wrong for v in values):
            batch = dataclasses.replace(BATCH, **{field: value})
            with self.assertRaises(errors.FrameError):
                peer.decode(peer.encode(batch))

    def test_invalid_addresses(self):
        """Guards against sockets to invalid addresses, and against a member
        with such an address that is spread with every later probe.
        """
        probe = messages.Probe(MEMBER, 'o', 1, (MEMBER,))
        self.assertEqual(probe, peer.decode(peer.encode(probe)))
        for address in ('', 'x', 'host:1', '127.0.0.1:0', '127.0.0.1:99999'):
            bad = dataclasses.replace(MEMBER, peer_address=address)
            for message in (
                messages.Introduction('n', address),
                dataclasses.replace(probe, updates=(bad,)),
            ):
                with self.assertRaises(errors.FrameError):
                    peer.decode(peer.encode(message))

    @hostile.SETTINGS
    @hypothesis.given(bodies(QUERY, MUTATION))
    def test_callers_bodies(self, body):
        """Guards against a request that gets a stack trace."""
        self.decode(caller.decode_query, body, 'q')
        self.decode(caller.decode_resolve, body, 'k', 'l')
        mutation = self.decode(caller.decode_mutation, body, 'm')
        if mutation is not None:
            self.assertLess(abs(mutation.key_expires_at_ms), 2**63)

    @hostile.SETTINGS
    @hypothesis.given(
        st.sampled_from(list(resources.Kind)), bodies(*SPECS), st.text()
    )
    def test_operators_requests(self, kind, body, text):
        """Guards against a declaration that gets a stack trace."""
        self.decode(operator.decode_spec, kind, 'x', body)
        wrapped = b'{"kind":"%s","spec":%s}' % (kind.encode(), body)
        self.decode(operator.decode_spec, kind, 'x', wrapped)
        self.decode(operator.decode_declaration, body)
        self.decode(operator.decode_path, operator.RESOURCES_PATH + text)
        self.decode(operator.decode_expected_revision, text, text)

    @hostile.SETTINGS
    @hypothesis.given(
        st.sampled_from([200, 200, 404, 503]),
        st.dictionaries(
            st.sampled_from(
                ['x-executed', 'x-reason', 'x-shard', 'x-version']
            ),
            st.text(),
        ),
        bodies(QUERY),
    )
    def test_endpoint_replies(self, status, headers, body):
        """Guards against a slot that is never freed, and against bytes
        that make a whole answer unreadable.
        """
        reply = endpoint.decode_reply(REQUEST, status, headers, body)
        check = messages.EndpointCheck('e', '127.0.0.1', 1, 1)
        endpoint.decode_health(check, status, headers)
        if reply.payload:
            json.loads(reply.payload.decode())

    @hostile.SETTINGS
    @hypothesis.given(
        st.sampled_from([200, 200, 404, 410, 412, 413, 500]),
        bodies({'revision': 1, 'items': [ITEM]}, ITEM, CLAIM, *SPECS),
    )
    def test_store_replies_and_values(self, status, body):
        """Guards against a value that stops the configuration task, and
        against a revision that cannot be sent to peers.
        """
        reply = self.decode(store.decode_reply, 't', status, body)
        if reply is not None:
            self.assertLess(reply.revision, 2**63)
            self.assertTrue(all(i.revision < 2**63 for i in reply.items))
        value = body.decode('utf-8', 'replace')
        for key in ('config/ranks/x', 'config/services/x', 'x', 'config/x'):
            item = messages.StoreItem(key, value, 1)
            self.decode(store.decode_item, item)
        items = (messages.StoreItem('claims/1/k', value, 1),)
        claims = messages.StoreReply('t', messages.StoreStatus.OK, 1, items)
        self.decode(store.decode_claim_reply, claims)

    def test_invalid_utf8_and_deep_nesting(self):
        """Guards against decoders that forward such bytes or raise an
        exception of another type.
        """
        spec = b'{"spec":{"name":"x","y":%s}}'
        hosts = b'{"hosts":[],"x":%s}'
        for bad in (b'"\xff"', DEEP):
            reply = endpoint.decode_reply(REQUEST, 200, {}, bad)
            self.assertEqual(messages.EndpointStatus.INVALID, reply.status)
            body = b'{"revision":1,"x":%s}' % bad
            for function, arguments in (
                (store.decode_reply, ('t', 200, body)),
                (store.decode_reply, ('t', 200, bad)),
                (operator.decode_declaration, (spec % bad,)),
                (host_list.decode, (hosts % bad,)),
                (host_list.decode, (bad,)),
                (operator.decode_spec, (resources.Kind.RANK, 'x', spec % bad)),
            ):
                self.decode(function, *arguments)

    def test_numbers_that_no_frame_can_represent(self):
        """Guards against storing a value that cannot be encoded for peers."""
        for number in (-1, 2**63, 10**30):
            body = json.dumps({'revision': number}).encode()
            with self.assertRaises(errors.FrameError):
                store.decode_reply('t', 200, body)
            body = {**MUTATION, 'key_expires_at_ms': number}
            with self.assertRaises(errors.RequestError):
                caller.decode_mutation(json.dumps(body).encode(), 'm')
            claim = json.dumps({**CLAIM, 'key_expires_at_ms': number})
            items = (messages.StoreItem('claims/1/k', claim, 1),)
            ok = messages.StoreStatus.OK
            with self.assertRaises(errors.FrameError):
                store.decode_claim_reply(
                    messages.StoreReply('t', ok, 1, items)
                )

    @hostile.SETTINGS
    @hypothesis.given(bodies({'hosts': [HOST]}, HOST))
    def test_host_lists(self, body):
        """Guards against one entry that no peer accepts in a probe."""
        found = self.decode(host_list.decode, body)
        if found is None:
            return
        usable, _ = host_list.drop_unusable(found)
        for host in usable.hosts:
            if host.role == 'node':
                member = messages.Member(
                    host.name,
                    host.failure_domain,
                    host.peer_address,
                    host.http_address,
                )
                probe = messages.Probe(member, 'o', 1)
                self.assertEqual(probe, peer.decode(peer.encode(probe)))
