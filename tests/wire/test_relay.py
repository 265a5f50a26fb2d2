import dataclasses
import unittest
import zlib

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import relaying
from gypsumbridge_wire import relay

UPDATES = relaying.RelayedUpdates(
    7,
    (
        relaying.StoreRecord('a', 6, b'\xff\x00'),
        relaying.StoreRecord('b', 7, None),
    ),
    False,
    True,
    40,
)
NODE = relaying.PeerNode('n1', '10.0.0.1:7380', 'd1', 65.0)


class RelayTest(unittest.TestCase):
    def test_updates_are_unchanged_by_the_codec(self):
        """Guards against deleted keys that decode as empty values."""
        self.assertEqual(
            UPDATES, relay.decode_updates(relay.encode_updates(UPDATES))
        )

    def test_calls_are_unchanged_by_the_codec(self):
        """Guards against a poll from the wrong revision."""
        target = relay.encode_target(12, 2_000, 3)
        self.assertEqual((12, 2_000, 3), relay.decode_target(target))

    def test_nodes_that_know_no_era_are_understood(self):
        """Guards against nodes that cannot poll each other in an upgrade."""
        target = f'{relay.PATH}?after=12&wait_ms=2000'
        self.assertEqual((12, 2_000, None), relay.decode_target(target))
        body = dataclasses.asdict(UPDATES)
        del body['era'], body['proof_age_ms']
        for record in body['records']:
            del record['era']
        found = relay.decode_updates(
            zlib.compress(msgspec.msgpack.encode(body))
        )
        self.assertEqual(UPDATES, found)
        self.assertIsNone(found.era)

    def test_other_targets_are_refused(self):
        """Guards against an exception for a request to another target."""
        for target in (
            '/',
            relay.PATH,
            f'{relay.PATH}?after=x&wait_ms=1',
            f'{relay.PATH}?after=1',
            f'{relay.PATH}?after=1&wait_ms=1&era=x',
            f'{relay.PATH}?after=1&wait_ms=1&era=-1',
        ):
            with self.subTest(target=target):
                self.assertIsNone(relay.decode_target(target))

    def test_waits_are_bounded(self):
        """Guards against polls that are kept open without a limit."""
        target = relay.encode_target(1, 10**12, 0)
        self.assertEqual(
            (1, relay.MAX_WAIT_MS, 0), relay.decode_target(target)
        )

    def test_invalid_updates_are_refused(self):
        """Guards against an unexpected exception that ends the relaying."""
        valid = relay.encode_updates(UPDATES)
        for body in (
            b'',
            b'{}',
            valid[:-8],
            zlib.compress(b'\x00'),
            zlib.compress(b'\xa1\xff'),
        ):
            with self.subTest(body=body):
                with self.assertRaises(errors.FrameError):
                    relay.decode_updates(body)

    def test_an_entry_of_a_node_is_unchanged_by_the_codec(self):
        """Guards against a node that rewrites its key at each start."""
        value = relay.encode_node(NODE)
        self.assertEqual(NODE, relay.decode_node('n1', value))

    def test_a_node_that_answers_no_polls_has_no_address(self):
        """Guards against a node without an address that is not counted."""
        node = dataclasses.replace(NODE, address='')
        value = relay.encode_node(node)
        self.assertEqual(node, relay.decode_node('n1', value))

    def test_invalid_entries_of_nodes_are_refused(self):
        """Guards against polling an address that is not of a node of this
        fleet. A poll of an invalid address would never end, and the node
        would receive no further updates.
        """
        for node_id, value in (
            ('n2', relay.encode_node(NODE)),
            ('n1', b'10.0.0.1:7380'),
            ('n1', relay.encode_node(dataclasses.replace(NODE, address='x'))),
            ('n1', b'\xff'),
        ):
            with self.subTest(value=value):
                with self.assertRaises(errors.FrameError):
                    relay.decode_node(node_id, value)
