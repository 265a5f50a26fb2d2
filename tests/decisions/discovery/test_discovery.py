import dataclasses
import unittest

from gypsumbridge_decisions import discovery
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying


def decode_routes(value):
    if value == b'bad':
        raise errors.FrameError('bad', 'write it again')
    return forwarding.RouteTable(
        int(value), {}, {}, forwarding.IngressLimits()
    )


def decode_searcher(searcher_id, value):
    if value == b'bad':
        raise errors.FrameError('bad', 'write it again')
    return forwarding.Searcher(
        searcher_id, 's', '10.0.0.1', 80, 'd', 2, value == b'draining'
    )


def decode_node(node_id, value):
    if value == b'bad':
        raise errors.FrameError('bad', 'write it again')
    domain, _, address = value.decode().partition(' ')
    return relaying.PeerNode(node_id, address, domain, 1.0)


SCHEMA = discovery.StoreSchema(
    'routes',
    'searchers/',
    'nodes/',
    decode_routes,
    decode_searcher,
    decode_node,
)
DRAIN_MS = 3_000
HOLD_MS = 2_000


class DiscoveryTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 0
        self.own = relaying.PeerNode('n1', '', 'd1', 1.0)
        self.state = discovery.make_discovery_state(
            relaying.make_relay_state(self.own, 10), SCHEMA, DRAIN_MS
        )
        self.revision = 0

    def handle(self, message):
        return discovery.handle(self.state, message, self.now_ms)

    def records(self, values):
        found = []
        for key, value in values.items():
            self.revision += 1
            found.append(relaying.StoreRecord(key, self.revision, value))
        return tuple(found)

    def list(self, **values):
        records = self.records(
            {k.replace('_', '/'): v for k, v in values.items()}
        )
        return self.handle(discovery.StoreListed(self.revision, records))

    def change(self, **values):
        records = self.records(
            {k.replace('_', '/'): v for k, v in values.items()}
        )
        return self.handle(discovery.StoreChanged(self.revision, records))

    def published(self, commands):
        names = None
        for command in commands:
            if isinstance(command, forwarding.SearchersChanged):
                names = {s.searcher_id: s.draining for s in command.searchers}
        return names

    def test_a_node_is_ready_once_it_has_routes(self):
        """Guards against readiness without a configuration."""
        commands = self.list(searchers_a=b'ready')
        self.assertNotIn(discovery.DiscoveryReady(), commands)
        commands = self.change(routes=b'1')
        self.assertIn(discovery.DiscoveryReady(), commands)
        commands = self.change(routes=b'2')
        self.assertNotIn(discovery.DiscoveryReady(), commands)

    def test_a_draining_searcher_is_published_at_once(self):
        """Guards against new requests to a searcher that is leaving."""
        self.list(searchers_a=b'ready')
        commands = self.change(searchers_a=b'draining')
        self.assertEqual({'a': True}, self.published(commands))

    def test_a_removed_searcher_is_used_until_the_hold_ends(self):
        """Guards against dropping live searchers whose entries expired."""
        self.list(searchers_a=b'ready', searchers_b=b'ready')
        commands = self.change(searchers_a=None)
        self.assertIsNone(self.published(commands))
        self.now_ms += HOLD_MS
        commands = self.handle(discovery.RemovalTimer())
        self.assertEqual({'b': False}, self.published(commands))

    def test_a_removed_searcher_is_dropped_before_its_drain_time_ends(self):
        """Guards against requests to a searcher that may have ended.

        The notice of a removal is delayed by the pause between two watches.
        With a drain time of 5,000 ms and a hold time of 4,000 ms, requests
        were sent up to 5,011 ms after the removal (abl-gypsum-grown,
        trouble-1, seed 720988341571).
        """
        for drain_ms, max_notice_ms in ((3_000, 800), (5_000, 2_500)):
            with self.subTest(drain_ms=drain_ms):
                hold_ms = discovery.removal_hold_ms(drain_ms)
                self.assertLess(hold_ms + max_notice_ms, drain_ms)

    def test_a_removal_during_the_first_pause_counts_from_its_start(self):
        """Guards against requests to a searcher after its drain time.

        Fault soak, seed 31003: an entry was deleted in the pause that
        follows the first list of a new fleet. The hold time began at the
        end of the pause, and a request was sent 3,015 ms after the deletion.
        """
        self.pause_after_first_list()
        commands = self.list(routes=b'1')
        self.assertLess(self.removal_due_ms(commands), DRAIN_MS)

    def test_a_removal_that_a_stale_list_lacks_counts_from_the_pause(self):
        """Guards against requests to a searcher after its drain time.

        The list after the first pause may be as old as the first one. The
        removal is then among the changes that follow the list.
        """
        self.pause_after_first_list()
        commands = self.list(routes=b'1', searchers_a=b'ready')
        self.assertEqual(discovery.WatchStore(self.revision, 0), commands[-1])
        commands = self.change(searchers_a=None)
        self.assertLess(self.removal_due_ms(commands), DRAIN_MS)

    def test_a_failed_start_does_not_prolong_the_hold(self):
        """Guards against requests to a searcher after its drain time.

        Fault soak, plan removal_in_first_pause: the store refused the first
        calls of the process. Entries that expire in such an outage are not
        in the first list, so it is no reason to hold a searcher longer.
        """
        self.pause_after_first_list(discovery.StoreFailed('refused'))
        commands = self.list(routes=b'1')
        self.assertLess(self.removal_due_ms(commands), DRAIN_MS)

    def test_a_removal_after_a_confirmed_list_is_held_in_full(self):
        """Guards against dropping live searchers whose entries expired."""
        self.pause_after_first_list()
        self.list(routes=b'1', searchers_a=b'ready')
        commands = self.change()
        self.assertEqual(
            discovery.WatchStore(self.revision, 3_000), commands[-1]
        )
        self.now_ms += 2_900
        noticed_ms = self.now_ms
        commands = self.change(searchers_a=None)
        self.assertEqual(noticed_ms + HOLD_MS, self.removal_due_ms(commands))

    def pause_after_first_list(self, *before):
        """Begin again as a node of a new fleet, and end its first pause."""
        self.own = relaying.PeerNode('n1', '10.0.0.1:70', 'd1', 1.0)
        self.state = discovery.make_discovery_state(
            relaying.make_relay_state(self.own, 10), SCHEMA, DRAIN_MS
        )
        for message in before:
            self.handle(message)
        commands = self.list(routes=b'1', searchers_a=b'ready')
        (pause,) = (
            c
            for c in commands
            if isinstance(c, messages.Timer)
            and isinstance(c.event, discovery.ResumeTimer)
        )
        self.now_ms += pause.delay_ms
        self.handle(pause.event)

    def removal_due_ms(self, commands):
        """Return when a searcher is dropped, on the test's clock."""
        (removal,) = (
            c
            for c in commands
            if isinstance(c, messages.Timer)
            and isinstance(c.event, discovery.RemovalTimer)
        )
        return self.now_ms + removal.delay_ms

    def test_an_expired_entry_can_be_written_again(self):
        """Guards against dropping searchers that survive a store outage."""
        for drain_ms in (3_000, 5_000, 20_000):
            with self.subTest(drain_ms=drain_ms):
                self.assertEqual(2_000, discovery.removal_hold_ms(drain_ms))

    def test_a_searcher_whose_entry_returns_in_time_is_kept(self):
        """Guards against removing a searcher on an outdated timer."""
        self.list(searchers_a=b'ready')
        self.change(searchers_a=None)
        self.now_ms += HOLD_MS // 2
        self.change(searchers_a=b'ready')
        self.now_ms += HOLD_MS
        self.assertEqual([], self.handle(discovery.RemovalTimer()))

    def test_a_restart_is_published_although_its_entry_is_the_same(self):
        """Guards against a restarted searcher that nobody notices."""
        schema = self.state.schema
        self.state.schema = dataclasses.replace(
            schema,
            decode_searcher=lambda name, value: dataclasses.replace(
                schema.decode_searcher(name, b'ready'), sequence=int(value)
            ),
        )
        self.list(searchers_a=b'7')
        for sequence, expected in ((b'8', None), (b'9', None), (b'1', {'a'})):
            commands = self.change(searchers_a=sequence)
            found = self.published(commands)
            self.assertEqual(expected, found and set(found))

    def test_the_hold_of_a_searcher_is_published(self):
        """Guards against a hold that ends late because its timer does."""
        self.list(searchers_a=b'ready')
        commands = self.change(searchers_a=None)
        due_ms = self.now_ms + HOLD_MS
        self.assertIn(forwarding.HoldChanged('a', due_ms), commands)
        self.assertEqual([], self.holds(self.change(searchers_a=None)))
        self.now_ms += HOLD_MS // 2
        commands = self.change(searchers_a=b'ready')
        self.assertEqual(
            [forwarding.HoldChanged('a', None)], self.holds(commands)
        )
        self.assertEqual([], self.holds(self.change(searchers_a=b'draining')))

    def holds(self, commands):
        return [c for c in commands if isinstance(c, forwarding.HoldChanged)]

    def test_a_list_without_a_searcher_removes_it_after_the_hold(self):
        """Guards against searchers that stay after the history was lost."""
        self.list(searchers_a=b'ready', searchers_b=b'ready')
        commands = self.handle(discovery.HistoryLost())
        self.assertIn(discovery.ListStore(stale_ok=False), commands)
        self.list(searchers_b=b'ready')
        self.now_ms += HOLD_MS
        commands = self.handle(discovery.RemovalTimer())
        self.assertEqual({'b': False}, self.published(commands))

    def test_a_skipped_record_is_logged_and_counted(self):
        """Guards against entries that vanish without a trace."""
        commands = self.list(searchers_a=b'bad')
        (decision,) = (
            c
            for c in commands
            if isinstance(c, messages.Decision)
            and c.name == 'store_record_skipped'
        )
        self.assertEqual('searchers/a', decision.fields['key'])
        self.assertIn(messages.Count('discovery.records_skipped'), commands)

    def test_a_change_older_than_a_listed_record_is_not_applied(self):
        """Guards against a leaving searcher that is in use again.

        The pages of a list may be of different age. A watch that begins at
        the revision of the oldest page returns changes that the newer pages
        already include.
        """
        newer = (
            relaying.StoreRecord('routes', 1, b'1'),
            relaying.StoreRecord('searchers/a', 9, b'draining'),
        )
        self.handle(discovery.StoreListed(5, newer))
        older = (relaying.StoreRecord('searchers/a', 7, b'ready'),)
        commands = self.handle(discovery.StoreChanged(8, older))
        self.assertIsNone(self.published(commands))
        self.assertTrue(self.state.searchers['a'].draining)

    def test_a_searcher_deleted_after_a_list_is_not_used_again(self):
        """Guards against an older change that undoes a deletion."""
        self.list(routes=b'1', searchers_a=b'ready')
        deleted = (relaying.StoreRecord('searchers/a', 9, None),)
        self.handle(discovery.StoreChanged(9, deleted))
        older = (relaying.StoreRecord('searchers/a', 7, b'draining'),)
        self.handle(discovery.StoreChanged(9, older))
        self.assertIn('a', self.state.removals)

    def test_a_list_does_not_undo_newer_changes(self):
        """Guards against a relayed list that is older than one change."""
        self.list(routes=b'1', searchers_a=b'ready', searchers_b=b'ready')
        newer = (
            relaying.StoreRecord('searchers/a', 9, b'draining'),
            relaying.StoreRecord('searchers/b', 8, None),
        )
        self.handle(discovery.StoreChanged(5, newer))
        listed = (
            relaying.StoreRecord('routes', 1, b'1'),
            relaying.StoreRecord('searchers/a', 2, b'ready'),
            relaying.StoreRecord('searchers/b', 3, b'ready'),
        )
        self.handle(discovery.StoreListed(6, listed))
        self.assertTrue(self.state.searchers['a'].draining)
        self.assertIn('b', self.state.removals)

    def test_values_that_cannot_be_decoded_are_skipped(self):
        """Guards against one bad value that blocks all updates."""
        commands = self.list(
            routes=b'bad', searchers_a=b'bad', searchers_b=b'ready'
        )
        self.assertEqual({'b': False}, self.published(commands))
        skipped = [
            c.fields['key']
            for c in commands
            if isinstance(c, messages.Decision)
            and c.name == 'store_record_skipped'
        ]
        self.assertEqual(['routes', 'searchers/a'], skipped)

    def test_old_routes_are_not_published_again(self):
        """Guards against a configuration that reverts to an older one."""
        self.list(routes=b'7')
        commands = self.change(routes=b'6')
        kinds = [type(command) for command in commands]
        self.assertNotIn(forwarding.RoutesChanged, kinds)

    def test_a_node_that_is_far_behind_reads_without_a_pause(self):
        """Guards against routes that come into force too late.

        After a store outage of ten seconds a node was behind by 2,500
        changes, read 500 per second, and exceeded the bound on the delay of
        configuration changes.
        """
        self.list(routes=b'1')
        many = {f'searchers_{number}': b'ready' for number in range(500)}
        commands = self.change(**many)
        self.assertEqual(
            discovery.WatchStore(self.revision, 3_000), commands[-1]
        )
        few = self.change(routes=b'2')
        self.assertEqual(discovery.ResumeTimer(), few[-1].event)

    def test_failures_are_retried_and_logged_once(self):
        """Guards against a node that stops retrying or floods its log."""
        self.list(routes=b'1')
        self.change()
        lost = 0
        for _ in range(5):
            commands = self.handle(discovery.StoreFailed('timeout'))
            lost += sum(isinstance(c, messages.Decision) for c in commands)
            timers = [c for c in commands if isinstance(c, messages.Timer)]
            self.assertEqual(1, len(timers))
            commands = self.handle(timers[0].event)
            self.assertEqual(
                [discovery.WatchStore(self.state.revision, 3_000)], commands
            )
        self.assertEqual(1, lost)
        commands = self.change()
        self.assertEqual('store_regained', commands[0].name)

    def test_the_own_key_is_written_once(self):
        """Guards against a write at each restart, and a missing node."""
        commands = self.list(routes=b'1')
        self.assertIn(discovery.WriteNode(self.own), commands)
        self.handle(discovery.NodeWritten(False))
        self.assertIn(discovery.WriteNode(self.own), self.change(routes=b'2'))
        self.handle(discovery.NodeWritten(True))
        commands = self.change(nodes_n1=b'd1')
        self.assertIn(forwarding.FleetSizeChanged(1), commands)
        self.assertNotIn(discovery.WriteNode(self.own), commands)

    def test_an_entry_of_an_older_release_is_replaced_once(self):
        """Guards against an endless sequence of writes."""
        commands = self.list(routes=b'1', nodes_n1=b'bad')
        self.assertIn(discovery.WriteNode(self.own), commands)
        self.handle(discovery.NodeWritten(True))
        commands = self.change(nodes_n1=b'bad')
        self.assertNotIn(discovery.WriteNode(self.own), commands)
