import dataclasses

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from tests.decisions.forwarding import gateway_case

RETURN_MS = 3_000
KEY = b'digest of the key'
REGIONS = {'d1': 'east', 'd2': 'west', 'd3': 'west'}
TARGETS = ('/all/x', '/one/x', '/once/x')
ROUTES = (
    gateway_case.GATHER,
    gateway_case.IDEMPOTENT,
    gateway_case.NON_IDEMPOTENT,
)
LOST = forwarding.AttemptOutcome.LOST
NOT_SENT = forwarding.AttemptOutcome.NOT_SENT


def domains_of(commands):
    sent = gateway_case.sends(commands)
    return {command.searcher.failure_domain for command in sent}


class PlacementCase(gateway_case.GatewayCase):
    key = b''

    def setUp(self):
        super().setUp()
        self.state.policy = dataclasses.replace(
            self.state.policy, regions=REGIONS
        )

    def handle(self, message):
        if isinstance(message, forwarding.CallerRequest):
            message = dataclasses.replace(message, key_digest=self.key)
        return super().handle(message)

    def evacuate(self, *domains):
        update = forwarding.EvacuationChanged(frozenset(domains))
        return self.handle(update)

    def declare(self, route_homes=(), customer_homes=()):
        """Declare the homes of all routes, and of the customer `c`."""
        changes = {'homes': route_homes, 'public': True}
        routes = [dataclasses.replace(r, **changes) for r in ROUTES]
        customer = forwarding.Customer('c', homes=customer_homes)
        customers = forwarding.CustomerTable({'c': customer}, {KEY: 'c'})
        table = gateway_case.make_table(self.state.table.version + 1, routes)
        table = dataclasses.replace(table, customers=customers)
        self.handle(forwarding.RoutesChanged(table))

    def publish_in(self, *domains, services=('s1', 's2', 's3', 's4')):
        self.publish(
            gateway_case.make_searcher(f'{service}-{domain}', service, domain)
            for service in services
            for domain in domains
        )

    def assert_sent(self, domain, targets=TARGETS):
        for target in targets:
            self.assertEqual({domain}, domains_of(self.arrive(target)))
            self.handle(forwarding.CallerDisconnected(self.last_call_id))

    def assert_refused(self, reason, domains):
        for target in TARGETS:
            commands = self.arrive(target)
            self.assertEqual([], gateway_case.sends(commands))
            (response,) = gateway_case.responses(commands)
            self.assertEqual(503, response.status)
            # All nodes refuse alike, so a retry after 50 ms is in vain.
            self.assertGreater(response.retry_after_ms, 50)
            count = messages.Count(f'forwarding.refused.{reason}')
            self.assertIn(count, commands)
            log = next(c for c in commands if isinstance(c, messages.Decision))
            self.assertEqual(reason, log.reason)
            self.assertEqual(domains, log.fields['failure_domains'])

    def assert_second_attempts(self, domain):
        """Retries and hedges go nowhere else than to the only searcher."""
        (sent,) = gateway_case.sends(self.arrive('/one/x'))
        self.assertEqual([], gateway_case.sends(self.end(sent, LOST)))
        self.arrive('/one/x')
        hedges = self.handle(forwarding.HedgeTimer(self.last_call_id))
        self.assertEqual({domain}, domains_of(hedges))

    def coordinators(self):
        """Return the nodes to which gathers and groups are delegated."""
        self.state.coordinators.clear()
        return {
            command.coordinator.node_id
            for _ in range(6)
            for command in gateway_case.delegations(self.arrive())
        }

    def set_nodes(self, *domains, own_capacity=1.0):
        own = relaying.PeerNode('n1', '', 'd1', own_capacity, 'a:1')
        nodes = (
            relaying.PeerNode(f'n-{d}', '', d, 10.0, 'a:2') for d in domains
        )
        self.handle(forwarding.NodesChanged((own, *nodes)))


class EvacuationTest(PlacementCase):
    def test_attempts_go_elsewhere(self):
        """Guards against attempts at searchers under evacuation."""
        self.evacuate('d1')
        self.assert_sent('d2')
        self.assert_second_attempts('d2')

    def test_requests_in_flight_end_by_themselves(self):
        """Guards against answers that an evacuation throws away.

        What such an answer states of the searcher holds afterwards.
        """
        (sent,) = gateway_case.sends(self.arrive('/one/x'))
        self.assertEqual([], self.evacuate('d1'))
        answered = forwarding.AttemptOutcome.ANSWERED
        ended = forwarding.AttemptEnded(sent.attempt_id, answered, 200)
        ended = dataclasses.replace(ended, signature='s', leaving=True)
        (response,) = gateway_case.responses(self.handle(ended))
        self.assertEqual(200, response.status)
        self.evacuate()
        self.now_ms += RETURN_MS
        self.assert_sent('d2', ('/one/x',))

    def test_an_attempt_that_was_held_back_is_sent_elsewhere(self):
        """Guards against a request that fails because of an evacuation.

        Neither the retry budget nor the searcher is charged for it. Without
        another searcher it is refused.
        """
        for target in ('/one/x', '/once/x'):
            self.evacuate()
            self.now_ms += RETURN_MS
            (sent,) = gateway_case.sends(self.arrive(target))
            self.evacuate('d1')
            self.state.budgets['s1'].fixed = -1e9
            (again,) = gateway_case.sends(self.end(sent, NOT_SENT))
            self.assertEqual('d2', again.searcher.failure_domain)
            health = self.state.health[sent.searcher.searcher_id]
            self.assertEqual(0, health.ejected_until_ms)
            self.evacuate('d1', 'd2')
            (response,) = gateway_case.responses(self.end(again, NOT_SENT))
            self.assertEqual(503, response.status)

    def test_a_service_without_other_searchers_is_refused_at_once(self):
        """Guards against a late or untrue refusal, and a silent one."""
        self.evacuate('d1', 'd2')
        self.assert_refused('evacuated', 'd1,d2')
        self.declare(route_homes=('west',))
        self.evacuate('d2')
        self.assert_refused('evacuated', 'd2')

    def test_a_gather_without_one_part_is_sent(self):
        """Guards against a gather that is refused above its coverage."""
        self.publish_in('d1', services=('s1', 's2', 's3'))
        self.assertEqual(3, len(gateway_case.sends(self.arrive())))

    def test_new_and_returning_searchers_of_the_domain_are_not_used(self):
        """Guards against searchers that start during an evacuation."""
        self.evacuate('d1', 'd3')
        self.publish_in('d2')
        self.publish_in('d1', 'd3', 'd2')
        self.assert_sent('d2')

    def test_searchers_return_gradually(self):
        """Guards against a burst to searchers that have become cold.

        They are used at once where there is no other, and what was measured
        before is kept.
        """
        health = self.state.health['s1-d1']
        self.evacuate('d1')
        self.now_ms += 10_000
        health.record_answer(1.1, self.now_ms)
        slowness = health.slowness
        self.evacuate()
        self.assertEqual(slowness, health.slowness)
        for expected in (0, 1 / 3, 2 / 3, 1):
            own = 0
            for _ in range(100):
                (sent,) = gateway_case.sends(self.arrive('/one/x', 2_000))
                own += sent.searcher.failure_domain == 'd1'
                self.answer(sent)
            self.assertAlmostEqual(expected, own / 100, delta=0.02)
            self.now_ms += RETURN_MS // 3
        self.evacuate('d1', 'd2')
        self.evacuate()
        self.assertEqual(4, len(gateway_case.sends(self.arrive())))

    def test_nothing_is_delegated_for_the_sake_of_its_searchers(self):
        """Guards against gathers and groups at nodes that cannot serve them.

        Parts of an evacuated own domain become a group elsewhere.
        """
        for own_capacity, own in ((1.0, ()), (10.0, ('d1',))):
            self.evacuate()
            self.publish_in('d2', 'd3', *own)
            self.set_nodes('d2', 'd3', own_capacity=own_capacity)
            for evacuated, nodes in (
                ((), {'n-d2', 'n-d3'}),
                (('d2',), {'n-d3'}),
                (('d2', 'd3'), set()),
            ):
                self.evacuate(*evacuated, *own)
                self.assertEqual(nodes, self.coordinators())


class HomesTest(PlacementCase):
    def test_a_request_without_homes_runs_in_the_nearest_domain(self):
        """Guards against deployments without homes that are served less."""
        self.assert_sent('d1')
        self.state.policy = dataclasses.replace(self.state.policy, regions={})
        self.declare()
        self.key = KEY
        self.assert_sent('d1')

    def test_the_homes_of_route_and_customer_bind(self):
        """Guards against a request that leaves its homes.

        Failure domains without a known region are in no home.
        """
        self.declare(customer_homes=('west',))
        self.assert_sent('d1')
        self.key = KEY
        for route_homes, customer_homes, domain in (
            ((), ('west',), 'd2'),
            (('west',), (), 'd2'),
            (('east', 'west'), ('west', 'north'), 'd2'),
            (('east',), ('west',), None),
            (('north',), (), None),
        ):
            self.declare(route_homes, customer_homes)
            if domain is None:
                self.assert_refused('outside_homes', '')
                continue
            self.assert_sent(domain)
            self.assert_second_attempts(domain)
        self.declare(('west',))
        self.publish_in('unknown')
        self.assert_refused('outside_homes', 'd2,d3')

    def test_gathers_and_groups_are_delegated_within_the_homes_only(self):
        """Guards against a body that is sent to a node outside the homes."""
        self.set_nodes('d1', 'd2')
        self.assertEqual({'n-d1'}, self.coordinators())
        self.declare(('west',))
        self.assertEqual({'n-d2'}, self.coordinators())
        self.set_nodes('d1')
        self.assertEqual(set(), self.coordinators())
        self.assert_sent('d2', ('/all/x',))
        self.publish_in('d1', 'd2', 'd4')
        self.set_nodes('d2', 'd4', own_capacity=10.0)
        self.assertEqual({'n-d2'}, self.coordinators())

    def test_a_coordinator_keeps_to_the_homes(self):
        """Guards against a delegated gather that leaves the homes.

        The homes of a customer that is not known are not either.
        """
        self.declare(customer_homes=('west',))
        for customer, expected in (('c', {'d2'}), ('stranger', set())):
            (request,) = {c.request for c in gateway_case.sends(self.arrive())}
            request = dataclasses.replace(
                request, call_id=-1, customer=customer
            )
            commands = self.handle(forwarding.DelegatedRequest(request, 2))
            self.assertEqual(expected, domains_of(commands))
