import unittest

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import quotas
from gypsumbridge_decisions import relaying

POLICY = quotas.QuotaPolicy('n1', 'a', 5_000, 0.1, 20.0, 1, 30_000)
NODES = (
    relaying.PeerNode('n1', '10.0.0.1:1', 'a', 1.0),
    relaying.PeerNode('n2', '10.0.0.2:1', 'b', 1.0),
)
# A node of a small fleet watches the store; each watch without changes ends
# after this time and proves the copy that the node had at its start.
WATCH_MS = 3_000
ROUNDS = 30


class QuietStoreTest(unittest.TestCase):
    def test_a_lost_holder_is_replaced_while_nothing_changes(self):
        """Guards against a partition without a holder in a quiet fleet.

        Measured with three gateways that watch the store: 60 s after the loss
        no node had taken over, since a proof was at times over 5 s old.
        """
        written, asked = self.run_decisions(
            {'c': quotas.Quota(2.0, 5.0)},
            (quotas.HolderRecord(0, 'n2', 2, 7),),
        )
        self.assertIn(quotas.HolderRecord(0, 'n1', 3, 7), written)
        self.assertGreater(asked, 0)

    def test_nothing_is_written_for_deployments_without_customers(self):
        """Guards against calls to the store that serve nobody."""
        self.assertEqual(([], 0), self.run_decisions({}, ()))

    def run_decisions(self, limits, records):
        """Return what a node writes, and how often it asks the holder."""
        state = quotas.make_quota_state(POLICY)
        written = []
        asked = 0
        for message in (
            forwarding.NodesChanged(NODES),
            quotas.QuotasChanged(1, limits),
            quotas.HoldersChanged(records),
        ):
            quotas.handle(state, message, 0)
        for now_ms in range(0, ROUNDS * 1_000, 500):
            commands = []
            if now_ms % WATCH_MS == 0:
                confirmed = forwarding.CopyConfirmed(now_ms, now_ms - WATCH_MS)
                commands += quotas.handle(state, confirmed, now_ms)
            elif now_ms % 1_000 == 500:
                commands += quotas.handle(state, quotas.QuotaTimer(), now_ms)
            for command in commands:
                if isinstance(command, quotas.AskHolder):
                    asked += 1
                    failed = quotas.HolderFailed(command.ask_id, 'timeout')
                    commands += quotas.handle(state, failed, now_ms)
                if isinstance(command, quotas.WriteHolder):
                    written.append(command.record)
            timers = [c for c in commands if isinstance(c, messages.Timer)]
            self.assertLessEqual(len(timers), 1)
        return written, asked
