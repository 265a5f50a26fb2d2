import dataclasses
import unittest
import zlib

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import relaying
from gypsumbridge_wire import relay

NEWS = relaying.RelayedUpdates(
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
    def test_news_come_back_as_they_were(self):
        """Guards against deleted keys that are taken for empty ones."""
        self.assertEqual(
            NEWS, relay.decode_updates(relay.encode_updates(NEWS))
        )

    def test_calls_come_back_as_they_were(self):
        """Guards against a poll that asks for the wrong revision."""
        target = relay.encode_target(12, 2_000)
        self.assertEqual((12, 2_000), relay.decode_target(target))

    def test_foreign_calls_are_refused(self):
        """Guards against an exception for a call of something else."""
        for target in (
            '/',
            relay.PATH,
            f'{relay.PATH}?after=x&wait_ms=1',
            f'{relay.PATH}?after=1',
        ):
            with self.subTest(target=target):
                self.assertIsNone(relay.decode_target(target))

    def test_waits_are_bounded(self):
        """Guards against polls that are kept for ever."""
        target = relay.encode_target(1, 10**12)
        self.assertEqual((1, relay.MAX_WAIT_MS), relay.decode_target(target))

    def test_bytes_that_are_no_news_are_refused(self):
        """Guards against an exception that ends the exchange for good."""
        whole = relay.encode_updates(NEWS)
        for body in (
            b'',
            b'{}',
            whole[:-8],
            zlib.compress(b'\x00'),
            zlib.compress(b'\xa1\xff'),
        ):
            with self.subTest(body=body):
                with self.assertRaises(errors.FrameError):
                    relay.decode_updates(body)

    def test_an_entry_of_a_node_comes_back_as_it_was(self):
        """Guards against a node that writes its key at each start."""
        value = relay.encode_node(NODE)
        self.assertEqual(NODE, relay.decode_node('n1', value))

    def test_a_node_that_answers_no_polls_has_no_address(self):
        """Guards against a node that is not counted."""
        node = dataclasses.replace(NODE, address='')
        value = relay.encode_node(node)
        self.assertEqual(node, relay.decode_node('n1', value))

    def test_foreign_entries_of_nodes_are_refused(self):
        """Guards against a source that is no node of this fleet.

        A poll to an address that cannot be read would never end, and the
        node would ask for no news again.
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
