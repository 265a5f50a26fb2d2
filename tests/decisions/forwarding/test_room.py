import dataclasses

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from tests.decisions.forwarding import gateway_case

Outcome = forwarding.AttemptOutcome
CUSTOMERS = forwarding.CustomerTable(
    {
        'a': forwarding.Customer('a', 1),
        'b': forwarding.Customer('b', 1),
        'urgent': forwarding.Customer('urgent', 0),
    },
    {b'a': 'a', b'b': 'b', b'urgent': 'urgent'},
)
# Two searchers with two slots each.
SLOTS = 4
DEADLINE_MS = 2_000
WORK_MS = 90


def with_customers(version=2):
    routes = (gateway_case.IDEMPOTENT, gateway_case.NON_IDEMPOTENT)
    table = gateway_case.make_table(version, routes)
    return dataclasses.replace(table, customers=CUSTOMERS)


class RoomTest(gateway_case.GatewayCase):
    def setUp(self):
        super().setUp()
        self.state.policy = dataclasses.replace(
            self.state.policy, control_load=True
        )
        self.state.coordination.places_requests = True
        self.handle(forwarding.RoutesChanged(with_customers()))

    def fetch(self, customer='a', target='/one/x', deadline_ms=DEADLINE_MS):
        self.last_call_id += 1
        request = forwarding.CallerRequest(
            self.last_call_id,
            f'r-{self.last_call_id}',
            'GET',
            'a.example',
            target,
            (),
            b'',
            deadline_ms,
            self.now_ms,
            key_digest=customer.encode(),
        )
        return self.handle(request)

    def measure(self):
        """Answers enough requests for an estimate of their time."""
        for _ in range(20):
            (sent,) = gateway_case.sends(self.fetch())
            self.now_ms += WORK_MS
            self.answer(sent)

    def fill(self):
        self.measure()
        return [gateway_case.sends(self.fetch())[0] for _ in range(SLOTS)]

    def set_nodes(self, count):
        """Announces two coordinators, and `count` nodes in all."""
        nodes = [(f'c{n}', 100.0) for n in (1, 2)]
        nodes += [(f'n{n}', 10.0) for n in range(1, count - 1)]
        peers = tuple(
            relaying.PeerNode(name, '', 'd1', size, '10.0.0.9:1')
            for name, size in nodes
        )
        self.handle(forwarding.NodesChanged(peers))

    def calls(self, sent):
        return [c.request.call_id for c in sent]

    def test_requests_wait_here_for_a_slot(self):
        """Guards against requests that a searcher queues or rejects."""
        running = self.fill()
        self.assertEqual([], gateway_case.sends(self.fetch()))
        self.now_ms += WORK_MS
        sent = gateway_case.sends(self.answer(running[0]))
        self.assertEqual([self.last_call_id], self.calls(sent))
        self.assertEqual(running[0].searcher, sent[0].searcher)

    def test_ranks_and_customers_take_turns(self):
        """Guards against the order of arrival, in which one sends most."""
        running = self.fill()
        for customer in ('a', 'a', 'a', 'b', 'urgent'):
            self.fetch(customer)
        self.now_ms += WORK_MS
        order = []
        for attempt in running:
            order += gateway_case.sends(self.answer(attempt))
        names = [c.request.customer for c in order]
        self.assertEqual(['urgent', 'b', 'a', 'a'], names)

    def test_a_request_without_room_is_refused_at_once(self):
        """Guards against a wait until the deadline, which ends with 504."""
        self.fill()
        commands = self.fetch(deadline_ms=WORK_MS)
        self.assertEqual([], gateway_case.sends(commands))
        (response,) = gateway_case.responses(commands)
        self.assertEqual(503, response.status)
        self.assertLessEqual(response.retry_after_ms, WORK_MS // 3)
        (line,) = [
            c
            for c in commands
            if isinstance(c, messages.Decision)
            and c.name == 'request_given_up'
        ]
        self.assertEqual(WORK_MS, line.fields['left_ms'])
        self.assertGreater(line.fields['expected_ms'], WORK_MS)

    def test_those_refused_first_come_back_first(self):
        """Guards against refused callers that find later ones before them."""
        self.fill()
        for _ in range(200):
            self.fetch()
        delays = [
            response.retry_after_ms
            for _ in range(5)
            for response in gateway_case.responses(self.fetch())
        ]
        self.assertEqual(5, len(delays))
        self.assertLessEqual(max(delays), DEADLINE_MS // 3)

    def test_a_rejected_request_is_sent_again_when_there_is_room(self):
        """Guards against 503 although the searchers have room soon.

        Rejections do not count as runs.
        """
        (sent,) = gateway_case.sends(self.fetch())
        for _ in range(4):
            again = gateway_case.sends(self.end(sent, Outcome.NOT_RUN, 503))
            if not again:
                self.now_ms += 1_000
                again = gateway_case.sends(
                    self.handle(forwarding.RoomTimer('s1', self.now_ms))
                )
            (sent,) = again
        (response,) = gateway_case.responses(self.answer(sent))
        self.assertEqual(200, response.status)

    def test_a_request_that_waits_is_answered_when_the_node_stops(self):
        """Guards against a caller without an answer."""
        self.fill()
        self.fetch()
        (response,) = [
            r
            for r in gateway_case.responses(
                self.handle(messages.EndRequests())
            )
            if r.call_id == self.last_call_id
        ]
        self.assertEqual((503, 50), (response.status, response.retry_after_ms))

    def test_a_caller_that_leaves_makes_room(self):
        """Guards against work for nobody, and places that are never freed."""
        self.fill()
        self.fetch()
        self.fetch('b')
        self.handle(forwarding.CallerDisconnected(self.last_call_id - 1))
        commands = self.handle(forwarding.CallerDisconnected(21))
        sent = gateway_case.sends(commands)
        self.assertEqual([self.last_call_id], self.calls(sent))

    def test_a_request_that_must_not_run_twice_waits_and_stays_here(self):
        """Guards against a coordinator that may lose it."""
        self.set_nodes(SLOTS * 4)
        (command,) = gateway_case.delegations(self.fetch())
        commands = self.fetch(target='/once/x')
        self.assertEqual([], gateway_case.delegations(commands))
        self.assertEqual(1, len(gateway_case.sends(commands)))
        # All nodes choose the same coordinator, which sees all requests.
        self.assertEqual(
            command.coordinator,
            gateway_case.delegations(self.fetch())[0].coordinator,
        )

    def test_few_nodes_send_by_themselves(self):
        """Guards against a hop where each node sees enough by itself."""
        self.set_nodes(SLOTS * 4 - 1)
        self.assertEqual([], gateway_case.delegations(self.fetch()))

    def test_a_coordinator_that_refuses_or_is_lost_is_replaced(self):
        """Guards against requests that depend on it, and on one run more."""
        self.set_nodes(SLOTS * 4)
        self.fetch()
        number = self.state.last_delegation_id
        refused = forwarding.DelegationEnded(number, refusal='draining')
        self.assertEqual(1, len(gateway_case.sends(self.handle(refused))))
        self.fetch()
        number = self.state.last_delegation_id
        timer = forwarding.AcceptanceTimer(number, self.now_ms)
        (sent,) = gateway_case.sends(self.handle(timer))
        # The coordinator may have run it once, and two runs are allowed.
        commands = self.answer(sent, status=500, signature='')
        self.assertEqual([], gateway_case.sends(commands))
        (response,) = gateway_case.responses(commands)
        self.assertNotEqual(503, response.status)

    def test_a_coordinator_sends_what_others_place_there(self):
        """Guards against a request whose customer and rank get lost."""
        request = forwarding.CallerRequest(
            -1, 'r', 'GET', 'a.example', '/one/x', (), b'', 1_000, self.now_ms,
            customer='urgent', rank=0,
        )  # fmt: skip
        commands = self.handle(forwarding.DelegatedRequest(request, 2))
        self.assertIn(forwarding.AcceptDelegated(-1), commands)
        (sent,) = gateway_case.sends(commands)
        self.assertEqual('urgent', sent.request.customer)
        once = dataclasses.replace(request, call_id=-2, target='/once/x')
        commands = self.handle(forwarding.DelegatedRequest(once, 2))
        self.assertIn(forwarding.RefuseDelegated(-2, 'route'), commands)

    def test_without_customers_nothing_waits(self):
        """Guards against other deployments that are served differently."""
        self.handle(forwarding.RoutesChanged(gateway_case.make_table(3)))
        self.set_nodes(SLOTS * 4)
        for _ in range(SLOTS + 1):
            commands = self.arrive('/one/x', DEADLINE_MS)
            self.assertEqual(1, len(gateway_case.sends(commands)))
