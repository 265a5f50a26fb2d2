from gypsumbridge_decisions import quotas
from tests.decisions.quotas import quota_case

# A node of a small fleet watches the store; a watch without changes takes this
# long and proves the copy that the node had at its start.
WATCH_MS = 3_000


class QuietStoreTest(quota_case.QuotaCase):
    def watch(self, count):
        """Let some watches without changes pass."""
        commands = []
        for _ in range(count):
            commands += self.wait(WATCH_MS, confirmed=False)
            self.confirm(age_ms=WATCH_MS)
        return commands

    def test_a_lost_holder_is_replaced_while_nothing_changes(self):
        """Guards against a partition without a holder in a quiet fleet.

        Measured with three gateways that watch the store: 60 s after the loss
        no node had taken over, since a proof was at times over 5 s old.
        """
        written = [r.partition for r in self.writes(self.watch(8))]
        self.assertIn(0, written)

    def test_nothing_is_written_for_deployments_without_customers(self):
        """Guards against calls to the store that serve nobody."""
        self.handle(quotas.QuotasChanged(2, {}))
        commands = self.watch(8)
        self.assertEqual([], self.writes(commands))
        kinds = {type(command) for command in commands}
        self.assertNotIn(quotas.AskHolder, kinds)
