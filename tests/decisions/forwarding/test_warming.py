from gypsumbridge_decisions import forwarding
from tests.decisions.forwarding import gateway_case


class WarmingTest(gateway_case.GatewayCase):
    def warm(self, nodes, **changes):
        fields = {'name': 'a', 'service': 's1', 'domain': 'd1', **changes}
        return forwarding.is_kept_warm(
            gateway_case.make_searcher(**fields),
            gateway_case.make_table(),
            nodes,
            'd1',
        )

    def test_a_small_fleet_keeps_all_searchers_warm(self):
        """Guards against hedges that have to open a connection first."""
        self.assertTrue(self.warm(9))
        self.assertTrue(self.warm(9, domain='d2'))

    def test_a_large_fleet_stays_below_the_connection_limit(self):
        """Guards against idle connections that use up other nodes' share."""
        self.assertTrue(self.warm(83))
        self.assertFalse(self.warm(83, domain='d2'))

    def test_searchers_without_requests_are_not_kept_warm(self):
        """Guards against connections that are never used."""
        self.assertFalse(self.warm(9, service='unused'))
        self.assertFalse(self.warm(9, draining=True))

    def test_the_nodes_of_a_fleet_connect_one_after_another(self):
        """Guards against a searcher whose queue fills with connections."""
        for nodes in (9, 300, 8_300):
            with self.subTest(nodes=nodes):
                delays = [
                    forwarding.warm_up_delay_ms(f'n{number}', 's1-d1', nodes)
                    for number in range(nodes)
                ]
                longest_ms = min(10 * nodes, 10_000)
                self.assertLess(max(delays), longest_ms)
                self.assertGreaterEqual(min(delays), 0)
                busiest = max(
                    sum(1 for d in delays if start <= d < start + 100)
                    for start in range(0, longest_ms, 100)
                )
                self.assertLess(busiest, 20 + 2 * nodes * 100 // longest_ms)
