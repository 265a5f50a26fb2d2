import unittest

from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.policy_bench import cases
from gypsumbridge_standins.policy_bench import load
from gypsumbridge_standins.policy_bench import metrics
from gypsumbridge_standins.policy_bench import reference
from gypsumbridge_standins.policy_bench import run


class PolicyBenchTest(unittest.TestCase):
    def test_capacity_counts_the_shards_of_a_set(self):
        """Guards against a flood scaled by a wrong capacity."""
        deployment = build.build(
            build.ADDIS_GROUPS, range(20_000, 21_000), 20.0
        )
        capacities = {
            s.name: load.capacity_qps(deployment, s)
            for s in deployment.specs
            if hasattr(s, 'versions')
        }
        self.assertEqual(200.0, capacities['broker-desk'])
        self.assertEqual(100.0, capacities['billing-ledger'])

    def test_every_aim_belongs_to_a_case(self):
        """Guards against an aim without a case that checks it."""
        names = {case.name for case in cases.make_cases()}
        for metric in metrics.make_metrics():
            self.assertIn(metric.case, names)
        self.assertEqual({'Almaty', 'Addis'}, set(run.DEPLOYMENTS))

    def test_the_reference_grows_with_the_fan_out(self):
        """Guards against a reference that ignores the number of shards."""
        self.assertGreater(
            reference.slowest_search_p99_ms(30),
            reference.slowest_search_p99_ms(2),
        )
