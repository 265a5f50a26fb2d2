import dataclasses

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from tests.decisions.forwarding import gateway_case
from tests.decisions.forwarding import test_evacuation

KEY = b'digest of the key'
REGIONS = {'d1': 'east', 'd2': 'west', 'd3': 'west'}


class HomesCase(gateway_case.GatewayCase):
    def setUp(self):
        super().setUp()
        self.state.policy = dataclasses.replace(
            self.state.policy, regions=REGIONS
        )
        self.key = b''

    def declare(self, route_homes=(), customer_homes=()):
        """Declare the homes of all routes, and of the customer `c`."""
        routes = (
            gateway_case.GATHER,
            gateway_case.IDEMPOTENT,
            gateway_case.NON_IDEMPOTENT,
        )
        table = gateway_case.make_table(
            self.state.table.version + 1,
            [
                dataclasses.replace(r, homes=route_homes, public=True)
                for r in routes
            ],
        )
        customer = forwarding.Customer('c', homes=customer_homes)
        customers = forwarding.CustomerTable({'c': customer}, {KEY: 'c'})
        table = dataclasses.replace(table, customers=customers)
        self.handle(forwarding.RoutesChanged(table))

    def handle(self, message):
        if isinstance(message, forwarding.CallerRequest):
            message = dataclasses.replace(message, key_digest=self.key)
        return super().handle(message)

    def delegate(self, customer):
        """Deliver a gather that another node delegates for a customer."""
        request = forwarding.CallerRequest(
            -1, 'r', 'GET', 'a.example', '/all/x', (), b'', 600, self.now_ms
        )
        request = dataclasses.replace(request, customer=customer)
        return self.handle(forwarding.DelegatedRequest(request, 2))

    def domains(self, target='/one/x'):
        return test_evacuation.domains_of(self.arrive(target))

    def assert_refused(self, target):
        commands = self.arrive(target)
        self.assertEqual([], gateway_case.sends(commands))
        self.assertEqual([], gateway_case.delegations(commands))
        (response,) = gateway_case.responses(commands)
        self.assertEqual(503, response.status)
        count = messages.Count('forwarding.refused.outside_homes')
        self.assertIn(count, commands)


class HomesTest(HomesCase):
    def test_a_request_without_homes_runs_in_the_nearest_domain(self):
        """Guards against deployments without homes that are served less."""
        self.assertEqual({'d1'}, self.domains())
        self.state.policy = dataclasses.replace(self.state.policy, regions={})
        self.assertEqual({'d1'}, self.domains())
        self.declare()
        self.key = KEY
        self.assertEqual({'d1'}, self.domains())

    def test_the_homes_of_a_route_bind(self):
        """Guards against a request that leaves the homes of its route."""
        self.declare(route_homes=('west',))
        for target in ('/all/x', '/one/x', '/once/x'):
            self.assertEqual({'d2'}, self.domains(target))

    def test_the_homes_of_a_customer_bind(self):
        """Guards against a request that leaves the homes of its customer."""
        self.declare(customer_homes=('west',))
        self.assertEqual({'d1'}, self.domains())
        self.key = KEY
        for target in ('/all/x', '/one/x', '/once/x'):
            self.assertEqual({'d2'}, self.domains(target))

    def test_both_homes_bind_together(self):
        """Guards against homes of which one replaces the other."""
        self.key = KEY
        self.declare(('east', 'west'), ('west', 'north'))
        self.assertEqual({'d2'}, self.domains())
        self.declare(('east',), ('west',))
        for target in ('/all/x', '/one/x', '/once/x'):
            self.assert_refused(target)

    def test_no_searcher_in_the_homes(self):
        """Guards against a request that runs outside of its homes.

        Failure domains without a known region are in no home.
        """
        self.declare(route_homes=('north',))
        self.assert_refused('/one/x')
        self.declare(route_homes=('west',))
        self.publish([gateway_case.make_searcher('a', 's1', 'unknown')])
        self.assert_refused('/one/x')

    def test_a_customer_that_is_not_known_runs_nowhere(self):
        """Guards against homes that are not known and are ignored."""
        self.declare()
        commands = self.delegate('stranger')
        self.assertEqual([], gateway_case.sends(commands))

    def test_retries_and_hedges_stay_at_home(self):
        """Guards against a second attempt outside of the homes."""
        self.declare(route_homes=('west',))
        lost = forwarding.AttemptOutcome.LOST
        (sent,) = gateway_case.sends(self.arrive('/one/x'))
        self.assertEqual([], gateway_case.sends(self.end(sent, lost)))
        (sent,) = gateway_case.sends(self.arrive('/one/x'))
        hedges = self.handle(forwarding.HedgeTimer(self.last_call_id))
        self.assertEqual({'d2'}, test_evacuation.domains_of(hedges))

    def test_an_evacuated_home_is_named_as_the_reason(self):
        """Guards against an operator who looks for the wrong cause."""
        self.declare(route_homes=('west',))
        self.handle(forwarding.EvacuationChanged(frozenset({'d2'})))
        count = messages.Count('forwarding.refused.evacuated')
        self.assertIn(count, self.arrive('/one/x'))


class HomesOfGathersTest(HomesCase):
    def set_nodes(self, *domains, own_capacity=1.0):
        own = relaying.PeerNode('n1', '', 'd1', own_capacity, '10.0.0.1:1')
        others = (
            relaying.PeerNode(f'n-{d}', '', d, 10.0, '10.0.0.2:1')
            for d in domains
        )
        self.handle(forwarding.NodesChanged((own, *others)))

    def coordinators(self):
        return {
            command.coordinator.node_id
            for _ in range(6)
            for command in gateway_case.delegations(self.arrive())
        }

    def test_gathers_are_delegated_within_the_homes_only(self):
        """Guards against a body that is sent to a node outside the homes."""
        self.set_nodes('d1', 'd2')
        self.assertEqual({'n-d1'}, self.coordinators())
        self.declare(route_homes=('west',))
        self.assertEqual({'n-d2'}, self.coordinators())
        self.set_nodes('d1')
        commands = self.arrive()
        self.assertEqual([], gateway_case.delegations(commands))
        self.assertEqual({'d2'}, test_evacuation.domains_of(commands))

    def test_groups_are_delegated_within_the_homes_only(self):
        """Guards against groups of parts that leave the homes."""
        self.publish(
            gateway_case.make_searcher(f's{n}-{domain}', f's{n}', domain)
            for n in (1, 2, 3, 4)
            for domain in ('d2', 'd4')
        )
        self.set_nodes('d2', 'd4', own_capacity=10.0)
        self.state.coordination.plans = {
            service: dataclasses.replace(plan, gathers_itself=True)
            for service, plan in self.state.coordination.plans.items()
        }
        self.assertEqual({'n-d2', 'n-d4'}, self.coordinators())
        plans = self.state.coordination.plans
        self.declare(route_homes=('west',))
        self.state.coordination.plans = plans
        self.assertEqual({'n-d2'}, self.coordinators())

    def test_a_coordinator_keeps_to_the_homes(self):
        """Guards against a delegated gather that leaves the homes."""
        self.declare(customer_homes=('west',))
        commands = self.delegate('c')
        self.assertEqual({'d2'}, test_evacuation.domains_of(commands))
