import unittest

from gypsumbridge_decisions import lifecycle
from gypsumbridge_decisions import messages
from gypsumbridge_standins.replay import delivery
from gypsumbridge_standins.replay import full_fleet
from gypsumbridge_standins.replay import store_run
from gypsumbridge_standins.soak import catalogs

DOMAINS = ('fd-a', 'fd-b', 'fd-c')


class FullFleetTest(unittest.TestCase):
    def setUp(self):
        deployment = catalogs.make_deployment()
        self.replay = full_fleet.make_full_fleet(deployment, 5, DOMAINS, 1)
        self.replay.scheduler.run_until(3_000)
        self.answers = []
        self.replay.on_answer = lambda n, a: self.answers.append(a)

    def test_nodes_become_ready_by_their_own_decisions(self):
        """Guards against control protocols that the replay leaves out."""
        for node in self.replay.nodes.values():
            self.assertTrue(node.control.lifecycle.ready)
            self.assertEqual(5, len(node.control.membership.published_members))

    def test_a_mutation_runs_once_and_is_recorded(self):
        """Guards against a replay without the claim protocol."""
        expiry = 1_800_000_000_000 + 60_000
        for number, node_id in enumerate(('node-1', 'node-2')):
            mutation = messages.Mutation(
                f'm{number}', f'r{number}', 'audit-desk', 'set-00-0', 'border',
                'caller', 2_000, 'key', expiry, not number, b'{}',
            )  # fmt: skip
            delivery.deliver(self.replay, node_id, mutation)
            self.replay.scheduler.run_until(3_000 + 2_000 * (number + 1))
        self.assertEqual([False, True], [a.recorded for a in self.answers])
        runs = [e.executed for e in self.replay.endpoints.values()]
        self.assertEqual(1, sum(r.get('key', 0) for r in runs))

    def test_a_stop_ends_without_a_timeout(self):
        """Guards against a stop that waits for a report that never comes."""
        exits = []
        self.replay.on_exit = lambda node_id, e: exits.append(e.clean)
        delivery.deliver(self.replay, 'node-1', lifecycle.StopRequested())
        self.replay.scheduler.run_until(30_000)
        self.assertEqual([True], exits)

    def test_a_lost_reply_leaves_the_write_applied(self):
        """Guards against a fault that loses the write, not just the reply."""
        self.replay.store.lost_replies = 1.0
        request = messages.StoreRequest(
            't', messages.StoreOperation.WRITE, 'claims/1/k', '{}'
        )
        replies = []
        store_run.call(self.replay, 'node-1', request, replies.append)
        self.replay.scheduler.run_until(6_000)
        self.assertEqual(messages.StoreStatus.UNKNOWN, replies[0].status)
        self.assertIn('claims/1/k', self.replay.store.state.items)
