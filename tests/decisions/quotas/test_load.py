"""Fleets of the size of a deployment, without faults."""

import unittest

from gypsumbridge_decisions import quotas
from tests.decisions.quotas import quota_fleet

ADMITTED = quotas.AdmissionOutcome.ADMITTED
POLICY = quotas.QuotaPolicy('', '', 5_000, 0.1, 20.0, 3, 30_000, True)
START_MS = 6_000
CUSTOMERS = 81
# All customers together usually send this many requests a second.
USUAL_RATE = 24.0
USUAL_SHARE = 1 / 1.6
HOT = 'c0'
HOT_FACTOR = 7.5
HOT_MS = 6_500


def make_limits():
    """Return quotas of 7.7 requests a second down to 0.1."""
    weights = [1 / (number + 1) for number in range(CUSTOMERS)]
    rate = USUAL_RATE / USUAL_SHARE / sum(weights)
    return {
        f'c{number}': quotas.Quota(rate * weight, 2 + rate * weight)
        for number, weight in enumerate(weights)
    }


def run_load(nodes, hot='', seconds=30):
    """Send the usual demand, spread over all nodes; return the fleet.

    The `hot` customer sends 7.5 times its usual rate for 6.5 s.
    """
    limits = make_limits()
    fleet = quota_fleet.QuotaFleet(nodes, POLICY, limits, seed=1)
    fleet.run_until(START_MS)
    fleet.messages = 0
    due = []
    for customer, quota in limits.items():
        at_ms = float(START_MS)
        while at_ms < START_MS + seconds * 1_000:
            rate = quota.rate_per_s * USUAL_SHARE
            hot_ms = at_ms - START_MS - 10_000
            if customer == hot and 0 <= hot_ms < HOT_MS:
                rate *= HOT_FACTOR
            at_ms += fleet.random.uniform(500, 1_500) / rate
            due.append((at_ms, customer))
    for at_ms, customer in sorted(due):
        fleet.run_until(int(at_ms))
        fleet.request(fleet.random.choice(list(fleet.nodes)), customer)
    fleet.run_until(fleet.now_ms + 1_000)
    return fleet


class LoadTest(unittest.TestCase):
    def check_refusals(self, fleet, hot=''):
        """Only the hot customer may be refused, and not beyond its limit."""
        for call_id, (_, customer, _) in fleet.requests.items():
            if customer != hot:
                self.assertEqual(ADMITTED, fleet.outcome(call_id), customer)
        for customer, quota in fleet.store.quotas.items():
            bound = quotas.window_bound(quota, POLICY)
            self.assertLessEqual(fleet.largest_window(customer), bound)

    def test_usual_demand_over_77_nodes_is_never_refused(self):
        """Guards against quotas that are short because of the number of
        nodes, and against messages that grow with it.
        """
        fleet = run_load(77)
        self.check_refusals(fleet)
        sent = fleet.messages / len(fleet.nodes) / 30
        self.assertLess(sent, 3)

    def test_a_hot_customer_costs_the_others_nothing(self):
        """Guards against a customer at 7.5 times its usual rate that takes
        the tokens of others, or more than its own.
        """
        fleet = run_load(77, HOT)
        self.check_refusals(fleet, HOT)
        refused = [
            call_id
            for call_id, (_, customer, _) in fleet.requests.items()
            if customer == HOT and fleet.outcome(call_id) != ADMITTED
        ]
        self.assertGreater(len(refused), 50)
        self.assertLess(fleet.messages / len(fleet.nodes) / 30, 4)

    def check_connections(self, node_ids):
        """Send half of a limit to some nodes; none may be refused."""
        limits = {'c': quotas.Quota(8, 8)}
        fleet = quota_fleet.QuotaFleet(77, POLICY, limits)
        fleet.run_until(START_MS)
        for number in range(120):
            fleet.request(node_ids[number % len(node_ids)], 'c')
            fleet.run_until(fleet.now_ms + 250)
        fleet.run_until(fleet.now_ms + 1_000)
        outcomes = {fleet.outcome(call_id) for call_id in fleet.requests}
        self.assertEqual({ADMITTED}, outcomes)

    def test_uneven_connections_are_never_refused(self):
        """Guards against shares of a quota that lie at nodes which the
        customer does not use.
        """
        self.check_connections(['n5'])
        self.check_connections(['n5', 'n6'])
        self.check_connections([f'n{number}' for number in range(77)])
