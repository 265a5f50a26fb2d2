import unittest

from gypsumbridge_decisions import quotas
from tests.decisions.quotas import quota_fleet

POLICY = quotas.QuotaPolicy('', '', 5_000, 0.1, 20.0, 5, 30_000, True)


class HandlerTest(unittest.TestCase):
    def test_a_first_start_serves_a_calm_customer_within_seconds(self):
        """Guards against a start that refuses customers within their quota."""
        fleet = quota_fleet.QuotaFleet(8, POLICY, {'c': quotas.Quota(2, 2)})
        fleet.run_until(5_500)
        calls = []
        for number in range(30):
            calls.append(fleet.request(f'n{number % 8}', 'c'))
            fleet.run_until(fleet.now_ms + 1_000)
        outcomes = {fleet.outcome(call_id) for call_id in calls}
        self.assertEqual({quotas.AdmissionOutcome.ADMITTED}, outcomes)

    def test_an_unexpected_message_is_an_error(self):
        """Guards against a message that is lost without a trace."""
        state = quotas.make_quota_state(POLICY)
        with self.assertRaises(TypeError):
            quotas.handle(state, object(), 0)
