import unittest

from gypsumbridge_decisions import configuration
from gypsumbridge_decisions import messages
from tests.decisions import configuration_fleet

DOMAINS = ('a', 'b', 'c')
PROOF_LIFETIME_MS = 3_000
MAX_REPORT_AGE_MS = 6_000


class PropagationTest(unittest.TestCase):
    def setUp(self):
        self.fleet = configuration_fleet.Fleet(DOMAINS, 12)
        self.fleet.write('config/ranks/border')
        self.fleet.run(4_000)

    def test_a_change_is_in_force_everywhere(self):
        """Guards against nodes below the relays that miss a change."""
        revision = self.fleet.write('config/ranks/archive')
        request = messages.ForceQuery('at once', revision)
        first = self.fleet.send_request('a0', request, 0)
        self.assertEqual((False, 36), (first.in_force, first.lagging_nodes))
        self.fleet.run(4_000)
        self.assertEqual(
            {revision}, {self.fleet.revision(n) for n in self.fleet.states}
        )
        last = self.fleet.send_request(
            'a0', messages.ForceQuery('x', revision), 0
        )
        self.assertEqual((True, 0, 36), (last.in_force, 0, last.live_nodes))

    def test_a_lagging_node_is_counted_once(self):
        """Guards against reporting a change in force that one node lacks."""
        frozen = self.fleet.states['b0'].own_order[-1]
        self.fleet.paused.append(frozen)
        self.fleet.run(2_000)
        revision = self.fleet.write('config/ranks/archive')
        self.fleet.run(4_000)
        report = self.fleet.send_request(
            'a0', messages.ForceQuery('x', revision), 0
        )
        self.assertEqual(1, report.lagging_nodes)
        self.assertFalse(report.in_force)

    def test_only_relays_call_the_store(self):
        """Guards against store load that grows with the fleet."""
        self.fleet.store_calls = 0
        self.fleet.run(10_000)
        self.assertLessEqual(self.fleet.store_calls, 6 * 21)

    def test_an_unresponsive_parent_is_replaced(self):
        """Guards against a subtree that becomes stale if its parent fails."""
        order = self.fleet.states['a0'].own_order
        self.fleet.crashed.add(order[0])
        revision = self.fleet.write('config/ranks/archive')
        self.fleet.run(4_000)
        for node_id in order[1:]:
            self.assertEqual(revision, self.fleet.revision(node_id))
            self.assertTrue(self.fleet.serves(node_id))

    def test_changes_are_sent_incrementally(self):
        """Guards against sending a snapshot for every change."""
        self.fleet.sent.clear()
        self.fleet.write('config/ranks/archive')
        self.fleet.write('config/ranks/border', None)
        self.fleet.run(4_000)
        replies = [
            message
            for _, message in self.fleet.sent
            if isinstance(message, messages.ConfigState)
        ]
        self.assertFalse(any(r.snapshot for r in replies))
        for state in self.fleet.states.values():
            self.assertEqual(
                ['config/ranks/archive'], list(state.contents.items)
            )

    def test_a_new_node_gets_a_snapshot_in_chunks(self):
        """Guards against a frame that exceeds the size limit of peers."""
        for number in range(40):
            self.fleet.write(f'config/services/{number}', 'x' * 100_000)
        self.fleet.run(4_000)
        last = self.fleet.states['c0'].own_order[-1]
        self.fleet.restart(last)
        self.fleet.sent.clear()
        self.fleet.run(3_000)
        self.assertEqual(41, len(self.fleet.states[last].contents.items))
        self.assertEqual([41], self.fleet.published[last])
        sizes = [
            sum(len(item.value) for item in message.items)
            for _, message in self.fleet.sent
            if isinstance(message, messages.ConfigState) and message.snapshot
        ]
        self.assertGreater(len(sizes), 3)
        self.assertLess(max(sizes), 1_200_000)


class FreshnessTest(unittest.TestCase):
    def setUp(self):
        self.fleet = configuration_fleet.Fleet(DOMAINS, 2)
        self.first = self.fleet.write('config/ranks/border')
        self.fleet.run(4_000)

    def test_nodes_serve_during_a_store_outage(self):
        """Guards against a fleet that stops serving when the store is down."""
        self.fleet.store_down = True
        for _ in range(20):
            self.fleet.run(1_000)
            self.assertEqual(6, len(self.fleet.serving_nodes()))

    def test_an_isolated_node_stops_serving(self):
        """Guards against an isolated node with a stale configuration."""
        others = [n for n in self.fleet.states if n != 'c1']
        self.fleet.cut(['c1'], [*others, 'store'])
        self.fleet.run(PROOF_LIFETIME_MS)
        self.assertEqual(sorted(others), self.fleet.serving_nodes())

    def test_a_change_is_not_accepted_by_the_minority_side(self):
        """Guards against accepting a change that the majority never gets."""
        majority = ['b0', 'b1', 'c0', 'c1']
        self.fleet.cut(majority, ['a0', 'a1', 'store'])
        revision = self.fleet.write('config/ranks/archive')
        self.assertFalse(self.fleet.accepted('a0', revision))
        self.assertEqual(6, len(self.fleet.serving_nodes()))
        self.assertEqual(self.first, self.fleet.revision('b0'))
        self.fleet.cuts.clear()
        self.assertTrue(self.fleet.accepted('a0', revision))

    def test_a_paused_node_refuses_work_before_its_timers_run(self):
        """Guards against freshness that is only checked by a timer."""
        self.fleet.paused.append('c1')
        revision = self.fleet.write('config/ranks/archive')
        self.assertTrue(self.fleet.accepted('a0', revision))
        self.fleet.resume('c1')
        self.assertFalse(self.fleet.serves('c1'))
        self.fleet.run(1_000)
        self.assertTrue(self.fleet.serves('c1'))
        self.assertEqual(revision, self.fleet.revision('c1'))

    def test_one_relay_does_not_make_its_domain_hold_a_change(self):
        """Guards against an acceptance that is lost with one process.

        If the relay fails, the other node of its failure domain votes for
        the old revision.
        """
        relay, other = self.fleet.states['b0'].own_order
        rest = ['a0', 'a1', 'c0', 'c1', 'store']
        self.fleet.cut([other], [*rest, relay])
        self.fleet.cut(['c0', 'c1'], [*rest, relay, other])
        revision = self.fleet.write('config/ranks/archive')
        self.fleet.run(1_000)
        self.assertEqual(revision, self.fleet.revision(relay))
        self.assertFalse(self.fleet.accepted('a0', revision))

    def test_a_pull_delayed_in_a_socket_is_not_recent(self):
        """Guards against treating a report from before a restart as recent
        because its receiver was paused.
        """
        state = self.fleet.states['a0']
        report = messages.SubtreeReport(9, 1, 0, 9, 0)
        stamp_ms = self.fleet.now_ms - 60_000
        for stamp in (stamp_ms, None, self.fleet.now_ms + 1):
            pull = messages.ConfigPull(
                'a1', 'a', 1, 9, report, 0, stamp_ms=stamp
            )
            configuration.handle(state, pull, self.fleet.now_ms)
            since_ms = state.children['a1'].since_ms
            self.assertLessEqual(since_ms, stamp_ms)


class RestartTest(unittest.TestCase):
    def setUp(self):
        self.fleet = configuration_fleet.Fleet(DOMAINS, 2)
        self.revision = self.fleet.write('config/ranks/border')
        self.fleet.run(4_000)
        self.fleet.store_down = True
        self.fleet.run(4_000)

    def test_a_node_recovers_from_peers_during_a_store_outage(self):
        """Guards against a restart that waits for the store, and against
        one that counts votes from within the maximum report age.
        """
        self.fleet.restart('b0')
        self.fleet.run(MAX_REPORT_AGE_MS - 1)
        self.assertEqual(self.revision, self.fleet.revision('b0'))
        self.assertFalse(self.fleet.serves('b0'))
        self.fleet.run(2_000)
        self.assertTrue(self.fleet.serves('b0'))

    def test_a_fleet_with_empty_state_waits_for_the_store(self):
        """Guards against a fleet that recovers with an empty configuration."""
        for node_id in list(self.fleet.states):
            self.fleet.restart(node_id)
        self.fleet.run(30_000)
        self.assertEqual([], self.fleet.serving_nodes())
        self.fleet.store_down = False
        self.fleet.run(2_000)
        self.assertEqual(6, len(self.fleet.serving_nodes()))

    def test_two_domains_with_empty_state_do_not_vote(self):
        """Guards against a majority of restarted nodes that outvotes the
        failure domain which holds an accepted change.
        """
        self.fleet.cut(['a0', 'a1'], ['b0', 'b1', 'c0', 'c1'])
        for node_id in ('b0', 'b1', 'c0', 'c1'):
            self.fleet.restart(node_id)
        self.fleet.run(30_000)
        self.assertEqual([], self.fleet.serving_nodes())


class StepsTest(unittest.TestCase):
    def test_a_lower_revision_is_ignored(self):
        """Guards against a late reply that reverts a change."""
        core = configuration.Core('a', DOMAINS, 0, revision=5)
        self.assertEqual(5, configuration.hold_revision(core, 4).revision)

    def test_an_early_confirmation_does_not_complete_recovery(self):
        """Guards against losing a revision reported before the restart."""
        core = configuration.Core('a', DOMAINS, 100)
        early = configuration.record_confirmation(core, 0, 100)
        self.assertFalse(early.recovered)
        self.assertTrue(
            configuration.record_confirmation(core, 0, 101).recovered
        )

    def test_reports_merge_into_one_report(self):
        """Guards against losing a lagging node when targets differ."""
        parts = [
            messages.SubtreeReport(7, 8, 0, 7, 100),
            messages.SubtreeReport(5, 3, 2, 7, 300),
            messages.SubtreeReport(5, 4, 0, 6, 200),
        ]
        self.assertEqual(
            messages.SubtreeReport(5, 15, 6, 7, 300),
            configuration.merge_reports(parts, 7),
        )

    def test_each_node_has_one_parent_in_a_tree_of_width_eight(self):
        """Guards against relays with a whole failure domain as children."""
        order = tuple(f'n{i}' for i in range(319))
        children = {}
        for node_id in order[2:]:
            parent = configuration.parent_candidates(order, node_id)[0]
            self.assertLess(order.index(parent), order.index(node_id))
            children[parent] = children.get(parent, 0) + 1
        self.assertEqual(8, max(children.values()))
        self.assertEqual((), configuration.parent_candidates(order, 'n1'))
