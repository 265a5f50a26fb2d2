import unittest

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import relaying
from tests.decisions.forwarding import gateway_case

SERVICES = ('s1', 's2', 's3', 's4')


def make_node(node_id, domain='d1', capacity=100.0, address='10.0.0.9:7381'):
    return relaying.PeerNode(node_id, '', domain, capacity, address)


def make_searchers(domains):
    return {
        service: [
            gateway_case.make_searcher(f'{service}-{d}', service, d)
            for d in domains
        ]
        for service in SERVICES
    }


class CoordinatorPlanTest(unittest.TestCase):
    def plan(self, nodes, own_id, domains=('d1', 'd2')):
        return forwarding.plan_coordinators(
            SERVICES, make_searchers(domains), nodes, own_id
        )

    def ids(self, nodes):
        return [node.node_id for node in nodes]

    def test_equal_nodes_gather_for_themselves(self):
        """Guards against a hop that saves nothing."""
        nodes = [make_node('n1'), make_node('n2', 'd2')]
        plan = self.plan(nodes, 'n1')
        self.assertTrue(plan.gathers_itself)
        self.assertFalse(plan.is_shared)

    def test_small_nodes_delegate_to_large_ones_nearby(self):
        """Guards against gathers that exceed the link of a small host."""
        nodes = [
            make_node('small', capacity=10),
            make_node('large', capacity=100),
            make_node('other', 'd2', capacity=90),
        ]
        plan = self.plan(nodes, 'small')
        self.assertFalse(plan.gathers_itself)
        self.assertEqual(['large'], self.ids(plan.nearby))
        self.assertEqual(['other'], self.ids(plan.remote))
        self.assertTrue(self.plan(nodes, 'large').gathers_itself)

    def test_nodes_without_searchers_nearby_delegate(self):
        """Guards against billed traffic for every part of a gather."""
        nodes = [make_node('n1'), make_node('n2', 'd2'), make_node('n3', 'd3')]
        plan = self.plan(nodes, 'n3')
        self.assertFalse(plan.gathers_itself)
        self.assertEqual(['n1', 'n2'], self.ids(plan.remote))
        self.assertTrue(self.plan(nodes, 'n1').gathers_itself)

    def test_a_large_node_without_searchers_nearby_is_no_coordinator(self):
        """Guards against a coordinator whose parts are all remote."""
        nodes = [
            make_node('n1', capacity=10),
            make_node('n3', 'd3', capacity=100),
        ]
        self.assertTrue(self.plan(nodes, 'n1').gathers_itself)
        self.assertEqual(['n1'], self.ids(self.plan(nodes, 'n3').remote))

    def test_nodes_that_accept_no_gathers_are_not_chosen(self):
        """Guards against requests to a node of an earlier release."""
        nodes = [
            make_node('small', capacity=10),
            make_node('large', capacity=100, address=''),
        ]
        self.assertTrue(self.plan(nodes, 'small').gathers_itself)

    def test_a_node_that_is_not_known_yet_gathers_itself(self):
        """Guards against a plan that depends on a node's own entry."""
        self.assertTrue(self.plan([make_node('n2')], 'n1').gathers_itself)

    def test_shares_of_a_limit_add_up_to_no_more_than_the_limit(self):
        """Guards against coordinators and other nodes that exceed a limit."""
        nodes = tuple(
            make_node(f'n{n}', capacity=100 if n < 6 else 10)
            for n in range(79)
        )
        table = gateway_case.make_table()
        total = 0.0
        for node in nodes:
            coordination = forwarding.Coordination(node.node_id)
            coordination.nodes = nodes
            coordination.refresh(table, make_searchers(('d1', 'd2')))
            total += 1 / coordination.count_sharers('s1', len(nodes))
        self.assertLessEqual(total, 1.0)
