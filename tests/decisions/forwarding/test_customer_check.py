import dataclasses

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from tests.decisions.forwarding import gateway_case

GOLD, BASIC, SHARED, UNKNOWN = (
    forwarding.digest_keys((key,)) for key in ('gold', 'basic', 'both', 'none')
)
GATHER = dataclasses.replace(gateway_case.GATHER, rank=5)
PUBLIC = dataclasses.replace(
    gateway_case.IDEMPOTENT, name='public', prefix='/public/', public=True
)
UNKNOWN_KEY = (401, 0, 'unknown_key')
NO_ROUTE = (404, 0, 'no_route')
BEHIND = [(503, 50, 'maybe_unknown_key'), (503, 50, 'maybe_unknown_route')]


def make_table(version=2, gold_key='gold'):
    """Return a table with two customers, and a key that both have."""
    routes = (GATHER, gateway_case.IDEMPOTENT, PUBLIC)
    keys = (('gold', gold_key), ('basic', 'basic'), ('basic', ''))
    customers = forwarding.make_customer_table(
        (forwarding.Customer('gold', rank=0), forwarding.Customer('basic')),
        (*keys, ('gold', 'both'), ('basic', 'both')),
    )
    return dataclasses.replace(
        gateway_case.make_table(version, routes), customers=customers
    )


class CustomerCheckTest(gateway_case.GatewayCase):
    def setUp(self):
        self.suspended_ms = 0
        super().setUp()
        self.handle(forwarding.RoutesChanged(make_table()))
        self.confirm()

    def handle(self, message):
        boot_ms = self.now_ms + self.suspended_ms
        return forwarding.handle(self.state, message, self.now_ms, boot_ms)

    def confirm(self, age_ms=0, proof_age_ms=0):
        proven_ms = self.now_ms + self.suspended_ms - proof_age_ms
        confirmed_ms = self.now_ms - age_ms
        self.handle(forwarding.CopyConfirmed(confirmed_ms, proven_ms))

    def arrive_with(self, digest, target='/one/x', call_id=1):
        request = forwarding.CallerRequest(
            call_id, 'r', 'GET', 'a.example', target, (), b'', 600, self.now_ms
        )
        return self.handle(dataclasses.replace(request, key_digest=digest))

    def ask(self, digest, target='/one/x'):
        """Return how a request is refused, or its customer and digest."""
        commands = self.arrive_with(digest, target)
        for one in gateway_case.sends(commands):
            self.handle(forwarding.CallerDisconnected(1))
            return one.request.customer, one.request.key_digest
        (response,) = gateway_case.responses(commands)
        (log,) = [c for c in commands if isinstance(c, messages.Decision)]
        (count,) = [c for c in commands if isinstance(c, messages.Count)]
        self.assertTrue(count.name.endswith(f'.{log.reason}'))
        return response.status, response.retry_after_ms, log.reason

    def answers(self):
        """Return what an unknown key and an unknown route get."""
        self.assertEqual(('gold', b''), self.ask(GOLD))
        return [self.ask(UNKNOWN), self.ask(GOLD, '/nowhere/x')]

    def test_a_request_needs_a_known_key_or_a_public_route(self):
        """Guards against service for nobody, and a digest that goes on."""
        unusable = forwarding.digest_keys(('',))
        for digest, name in (
            (GOLD, 'gold'),
            (BASIC, 'basic'),
            *((d, '') for d in (b'', UNKNOWN, SHARED, unusable)),
        ):
            with self.subTest(digest=digest):
                expected = (name, b'') if name else UNKNOWN_KEY
                self.assertEqual(expected, self.ask(digest))
                self.assertEqual((name, b''), self.ask(digest, '/public/x'))

    def test_without_customers_requests_are_served_as_before(self):
        """Guards against 401 and 503 in deployments without customers."""
        table = gateway_case.make_table(version=3)
        self.handle(forwarding.RoutesChanged(table))
        self.now_ms += 60_000
        self.assertEqual(('', b''), self.ask(GOLD))
        self.assertEqual(NO_ROUTE, self.ask(GOLD, '/nowhere/x'))

    def test_a_withdrawn_key_is_unknown_from_the_next_request_on(self):
        """Guards against a connection that outlives its key."""
        self.handle(forwarding.RoutesChanged(make_table(3, 'new')))
        self.assertEqual(UNKNOWN_KEY, self.ask(GOLD))

    def test_a_node_is_behind_without_a_recent_confirmation(self):
        """Guards against 401 and 404 for what is not known yet.

        The age that a relay states counts, and the time for which the host
        was suspended, also for a confirmation that waited in a socket.
        """
        for wait_ms, asleep_ms, confirmed, behind in (
            (3_000, 0, None, False),
            (3_001, 0, None, True),
            (9_000, 0, (2_000, 2_500), False),
            (9_000, 0, (3_001, 3_500), True),
            (0, 3_001, None, True),
            (0, 9_000, (0, 9_000), True),
        ):
            with self.subTest(wait_ms=wait_ms, asleep_ms=asleep_ms):
                self.setUp()
                self.now_ms += wait_ms
                self.suspended_ms += asleep_ms
                if confirmed:
                    self.confirm(*confirmed)
                expected = BEHIND if behind else [UNKNOWN_KEY, NO_ROUTE]
                self.assertEqual(expected, self.answers())
        self.state.freshness = forwarding.CopyFreshness()
        self.assertEqual(BEHIND, self.answers())

    def test_a_version_that_another_node_has_is_awaited(self):
        """Guards against 401 for a key of a version that is on its way."""
        request = forwarding.CallerRequest(
            -1, 'd', 'GET', 'a.example', '/all/x', (), b'', 600, self.now_ms
        )
        for version, expected in ((1, [UNKNOWN_KEY, NO_ROUTE]), (4, BEHIND)):
            self.handle(forwarding.DelegatedRequest(request, version))
            self.assertEqual(expected, self.answers())
        self.handle(forwarding.RoutesChanged(make_table(4)))
        self.assertEqual([UNKNOWN_KEY, NO_ROUTE], self.answers())

    def test_keys_that_identify_no_customer_are_reported(self):
        """Guards against a key that fails without a trace."""
        commands = self.handle(forwarding.RoutesChanged(make_table(3)))
        found = {
            (c.reason, c.fields['customers'], c.fields['keys'])
            for c in commands
            if getattr(c, 'name', '') == 'customer_keys_skipped'
        }
        twice = ('listed_twice', 'basic,gold', 1)
        self.assertEqual({twice, ('unusable', 'basic', 1)}, found)

    def test_keys_and_digests_are_in_no_representation(self):
        """Guards against a secret in a log line or an error's text."""
        request = forwarding.CallerRequest(
            1, 'r', 'GET', 'h', '/', (), b'', 1, 1, key_digest=GOLD
        )
        record = relaying.StoreRecord('config', 1, GOLD)
        text = repr((request, record, make_table()))
        self.assertNotIn(repr(GOLD)[2:-1], text)

    def test_the_customers_rank_goes_before_the_routes(self):
        """Guards against latencies that are counted for another rank."""
        for digest, rank in ((GOLD, 0), (BASIC, gateway_case.IDEMPOTENT.rank)):
            (sent,) = gateway_case.sends(self.arrive_with(digest))
            self.check_rank(rank, self.answer(sent))

    def check_rank(self, rank, commands):
        names = [c.name for c in commands if isinstance(c, messages.Observe)]
        self.assertEqual([f'forwarding.latency.rank_{rank}'], names)

    def test_retries_and_hedges_have_the_customer(self):
        """Guards against an attempt that is booked for nobody."""
        (first,) = gateway_case.sends(self.arrive_with(GOLD))
        retried = self.end(first, forwarding.AttemptOutcome.NOT_SENT)
        self.arrive_with(GOLD, call_id=2)
        for commands in (retried, self.handle(forwarding.HedgeTimer(2))):
            (sent,) = gateway_case.sends(commands)
            self.assertEqual('gold', sent.request.customer)

    def test_a_delegated_gather_has_the_customer_and_its_rank(self):
        """Guards against a digest at another node, or a check without it."""
        nodes = tuple(
            relaying.PeerNode(name, '', 'd1', size, '10.0.0.9:1')
            for name, size in (('c1', 100.0), ('n1', 10.0))
        )
        self.handle(forwarding.NodesChanged(nodes))
        commands = self.arrive_with(GOLD, '/all/x')
        (delegated,) = [
            c.delegated for c in gateway_case.delegations(commands)
        ]
        sent = delegated.request
        self.assertEqual(
            ('gold', 0, b''), (sent.customer, sent.rank, sent.key_digest)
        )
        response = forwarding.CallerResponse(-1, 200)
        last_id = self.state.last_delegation_id
        ended = forwarding.DelegationEnded(last_id, response=response)
        self.check_rank(0, self.handle(ended))
        request = dataclasses.replace(sent, call_id=-1, rank=7)
        commands = self.handle(dataclasses.replace(delegated, request=request))
        for one in gateway_case.sends(commands):
            self.assertEqual('gold', one.request.customer)
            commands = self.answer(one)
        self.check_rank(7, commands)
