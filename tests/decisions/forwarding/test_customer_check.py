import dataclasses

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from tests.decisions.forwarding import gateway_case

# Of the customers' keys; the digest of a key is what the ingress states.
GOLD, BASIC, SHARED, NONE = (
    forwarding.digest_keys((key,))
    for key in ('gold-key', 'basic-key', 'shared-key', 'no-key')
)
GOLD_RANK = 0
ROUTE_RANK = gateway_case.IDEMPOTENT.rank
PUBLIC = dataclasses.replace(
    gateway_case.IDEMPOTENT, name='public', prefix='/public/', public=True
)


def make_table(version=2, gold_keys=('gold-key',)):
    """Return a table with two customers, and a key that both have."""
    routes = (gateway_case.GATHER, gateway_case.IDEMPOTENT, PUBLIC)
    customers = forwarding.make_customer_table(
        (
            forwarding.Customer('gold', rank=GOLD_RANK),
            forwarding.Customer('basic'),
        ),
        (
            *(('gold', key) for key in gold_keys),
            ('basic', 'basic-key'),
            ('gold', 'shared-key'),
            ('basic', 'shared-key'),
            ('basic', ''),
        ),
    )
    return dataclasses.replace(
        gateway_case.make_table(version, routes), customers=customers
    )


class CustomerCase(gateway_case.GatewayCase):
    def setUp(self):
        super().setUp()
        self.boot_ms = 50_000
        self.handle(forwarding.RoutesChanged(make_table()))
        self.confirm()

    def confirm(self, age_ms=0, proof_age_ms=0):
        self.handle(
            forwarding.CopyConfirmed(
                self.now_ms - age_ms, self.boot_ms - proof_age_ms
            )
        )

    def handle(self, message):
        return forwarding.handle(
            self.state, message, self.now_ms, getattr(self, 'boot_ms', 0)
        )

    def arrive_with(self, digest, target='/one/x'):
        self.last_call_id += 1
        request = forwarding.CallerRequest(
            self.last_call_id,
            f'r-{self.last_call_id}',
            'GET',
            'a.example',
            target,
            (),
            b'',
            600,
            self.now_ms,
            key_digest=digest,
        )
        return self.handle(request)


class CustomerCheckTest(CustomerCase):
    def refusal(self, digest, target='/one/x'):
        """Return status, wait and reason of a request that is not sent."""
        commands = self.arrive_with(digest, target)
        self.assertEqual([], gateway_case.sends(commands))
        (response,) = gateway_case.responses(commands)
        (log,) = [c for c in commands if isinstance(c, messages.Decision)]
        (count,) = [c for c in commands if isinstance(c, messages.Count)]
        self.assertTrue(count.name.endswith(f'.{log.reason}'))
        return response.status, response.retry_after_ms, log.reason

    def sent(self, digest, target='/one/x'):
        (command,) = gateway_case.sends(self.arrive_with(digest, target))
        return command.request

    def test_a_key_names_its_customer(self):
        """Guards against a digest that goes on after the check."""
        for digest, name, rank in (
            (GOLD, 'gold', GOLD_RANK),
            (BASIC, 'basic', None),
        ):
            with self.subTest(name=name):
                request = self.sent(digest)
                self.assertEqual(
                    (name, b'', rank),
                    (request.customer, request.key_digest, request.rank),
                )

    def test_requests_without_a_known_key_are_rejected(self):
        """Guards against a caller that is served without being known."""
        for digest in (b'', NONE, SHARED, forwarding.digest_keys(('',))):
            with self.subTest(digest=digest):
                self.assertEqual((401, 0, 'unknown_key'), self.refusal(digest))

    def test_a_public_route_needs_no_key(self):
        """Guards against public requests that are rejected or mislabelled."""
        for digest, name in ((b'', ''), (NONE, ''), (GOLD, 'gold')):
            with self.subTest(digest=digest):
                request = self.sent(digest, '/public/x')
                self.assertEqual(
                    (name, b''), (request.customer, request.key_digest)
                )

    def test_without_customers_no_key_is_needed(self):
        """Guards against a change for deployments without customers."""
        table = gateway_case.make_table(version=3)
        self.handle(forwarding.RoutesChanged(table))
        self.now_ms += 60_000
        self.boot_ms += 60_000
        request = self.sent(GOLD)
        self.assertEqual(('', b''), (request.customer, request.key_digest))
        self.assertEqual(
            (404, 0, 'no_route'), self.refusal(GOLD, '/nowhere/x')
        )

    def test_a_withdrawn_key_is_unknown_from_the_next_request_on(self):
        """Guards against a connection that outlives its key."""
        self.sent(GOLD)
        table = make_table(version=3, gold_keys=('new-key',))
        self.handle(forwarding.RoutesChanged(table))
        self.assertEqual(401, self.refusal(GOLD)[0])
        self.sent(forwarding.digest_keys(('new-key',)))

    def assert_behind(self, behind):
        key = (401, 0, 'unknown_key')
        route = (404, 0, 'no_route')
        if behind:
            key = (503, 50, 'maybe_unknown_key')
            route = (503, 50, 'maybe_unknown_route')
        self.assertEqual(key, self.refusal(NONE))
        self.assertEqual(route, self.refusal(GOLD, '/nowhere/x'))
        self.sent(GOLD)

    def test_a_node_that_may_be_behind_rejects_nothing(self):
        """Guards against 401 and 404 for what the node does not know yet."""
        self.now_ms += 3_000
        self.boot_ms += 3_000
        self.assert_behind(False)
        self.boot_ms += 1
        self.now_ms += 1
        self.assert_behind(True)
        self.confirm()
        self.assert_behind(False)

    def test_a_relays_age_counts(self):
        """Guards against an old copy that counts as confirmed just now."""
        self.now_ms += 10_000
        self.boot_ms += 10_000
        self.confirm(age_ms=2_000, proof_age_ms=2_500)
        self.assert_behind(False)
        self.now_ms += 1_001
        self.boot_ms += 1_001
        self.assert_behind(True)

    def test_a_node_is_behind_until_its_first_confirmation(self):
        """Guards against 401 by a node that has only an old list."""
        self.state.freshness = forwarding.CopyFreshness()
        self.assert_behind(True)

    def test_suspended_time_counts(self):
        """Guards against 401 by a host that slept for an hour.

        A confirmation that waited in the socket meanwhile is as old.
        """
        self.boot_ms += 3_600_000
        self.assert_behind(True)
        self.confirm(proof_age_ms=3_600_000)
        self.assert_behind(True)

    def test_a_version_that_another_node_has_is_awaited(self):
        """Guards against 401 for a key of a version that is on its way."""
        request = forwarding.CallerRequest(
            -1, 'd', 'GET', 'a.example', '/all/x', (), b'', 600, self.now_ms
        )
        self.handle(forwarding.DelegatedRequest(request, 1))
        self.assert_behind(False)
        self.handle(forwarding.DelegatedRequest(request, 4))
        self.assert_behind(True)
        self.handle(forwarding.RoutesChanged(make_table(4)))
        self.assert_behind(False)

    def test_keys_that_identify_no_customer_are_reported(self):
        """Guards against a key that fails without a trace."""
        commands = self.handle(forwarding.RoutesChanged(make_table(3)))
        found = {
            (c.reason, c.fields['customers'], c.fields['keys'])
            for c in commands
            if isinstance(c, messages.Decision)
            and c.name == 'customer_keys_skipped'
        }
        self.assertEqual(
            {('listed_twice', 'basic,gold', 1), ('unusable', 'basic', 1)},
            found,
        )

    def test_digests_appear_in_no_representation(self):
        """Guards against a digest in a log line or an error's text."""
        self.last_call_id += 1
        request = forwarding.CallerRequest(
            1, 'r', 'GET', 'h', '/', (), b'', 1, 1, key_digest=GOLD
        )
        for value in (request, make_table()):
            self.assertNotIn(repr(GOLD)[2:-1], repr(value))
            self.assertNotIn(GOLD.hex(), repr(value))

    def test_differing_or_unusable_keys_are_no_key(self):
        """Guards against a request that is counted for one of two."""
        digest = forwarding.digest_keys
        self.assertEqual(b'', digest(()))
        self.assertEqual(GOLD, digest(('gold-key', 'gold-key')))
        table = make_table().customers
        odd = (('gold-key', 'basic-key'), ('',), ('x' * 5_000,), ('k\xe9',))
        for values in odd:
            with self.subTest(values=values):
                self.assertTrue(digest(values))
                self.assertIsNone(table.find(digest(values)))


class CustomerRankTest(CustomerCase):
    def observed(self, commands):
        return [c.name for c in commands if isinstance(c, messages.Observe)]

    def test_the_customers_rank_goes_before_the_routes(self):
        """Guards against latencies that are counted for another rank."""
        for digest, rank in ((GOLD, GOLD_RANK), (BASIC, ROUTE_RANK)):
            with self.subTest(rank=rank):
                (sent,) = gateway_case.sends(self.arrive_with(digest))
                commands = self.answer(sent)
                self.assertEqual(
                    [f'forwarding.latency.rank_{rank}'],
                    self.observed(commands),
                )
                self.assertIn(
                    messages.Count(f'forwarding.rank_{rank}.200'), commands
                )

    def delegate(self, digest):
        self.handle(
            forwarding.NodesChanged(
                tuple(
                    relaying.PeerNode(name, '', 'd1', size, '10.0.0.9:1')
                    for name, size in (('c1', 100.0), ('n1', 10.0))
                )
            )
        )
        (command,) = gateway_case.delegations(
            self.arrive_with(digest, '/all/x')
        )
        return command.delegated

    def test_a_delegated_gather_has_the_customer_and_its_rank(self):
        """Guards against a digest that is sent to another node."""
        delegated = self.delegate(GOLD)
        self.assertEqual(
            ('gold', GOLD_RANK, b''),
            (
                delegated.request.customer,
                delegated.request.rank,
                delegated.request.key_digest,
            ),
        )
        commands = self.handle(
            forwarding.DelegationEnded(
                self.state.last_delegation_id,
                response=forwarding.CallerResponse(-1, 200),
            )
        )
        self.assertEqual(
            [f'forwarding.latency.rank_{GOLD_RANK}'], self.observed(commands)
        )

    def test_a_coordinator_uses_what_was_sent_to_it(self):
        """Guards against a second check without the key."""
        delegated = self.delegate(GOLD)
        request = dataclasses.replace(delegated.request, call_id=-1, rank=7)
        commands = self.handle(dataclasses.replace(delegated, request=request))
        sent = gateway_case.sends(commands)
        self.assertEqual({'gold'}, {s.request.customer for s in sent})
        for one in sent:
            commands = self.answer(one)
        self.assertEqual(
            ['forwarding.latency.rank_7'], self.observed(commands)
        )
