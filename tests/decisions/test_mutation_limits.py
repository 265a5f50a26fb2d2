"""Deadlines, expiry times and limits of the mutation task."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import mutation
from tests.decisions import claim_case

OPERATIONS = claim_case.OPERATIONS
STATUSES = claim_case.STATUSES
WALL_MS = claim_case.WALL_MS


class LimitTest(claim_case.ClaimCase):
    def test_nothing_is_sent_after_the_deadline(self):
        """Guards against sending a mutation whose claim is written late."""
        self.arrive(first_attempt=True)
        self.now_ms = 995
        answer = self.answer(self.timer('deadline'))
        self.assertEqual(('not_run', 'deadline'), answer)
        late = self.reply(STATUSES.OK, 5)
        self.assertEqual([], self.sent(late))
        self.assertEqual(
            messages.ClaimPhase.RELEASED, self.call(late).claim.phase
        )

    def test_paused_claimant_does_not_send(self):
        """Guards against a claimant that continues past deadline or expiry."""
        for paused_ms, run_state in (
            (1_000, 'not_run'),
            (60_000, 'outcome_unknown'),
        ):
            self.setUp()
            self.arrive()
            self.now_ms = paused_ms
            late = self.reply(STATUSES.OK, 5)
            self.assertEqual([], self.sent(late))
            self.assertEqual((run_state, 'deadline'), self.answer(late))

    def test_store_outage_refuses_unsent_mutations(self):
        """Guards against not_run for a key that may have been used."""
        for first, run_state in (
            (True, 'not_run'),
            (False, 'outcome_unknown'),
        ):
            self.arrive(first_attempt=first)
            commands = self.reply(STATUSES.UNAVAILABLE)
            self.assertEqual(
                (run_state, 'store_unavailable'),
                self.answer(commands),
            )
            self.assertEqual({}, self.state.running)

    def test_refused_before_the_claim(self):
        """Guards against invalid requests that reach the store."""
        for changes, code in (
            ({'key_expires_at_ms': WALL_MS}, 'key_expired'),
            ({'key_expires_at_ms': WALL_MS + 100_001}, 'key_expiry_too_late'),
            ({'shard': 'none'}, 'unknown_shard'),
            ({'rank': 'none'}, 'unknown_rank'),
            ({'service': 'none'}, 'unknown_service'),
        ):
            refused = self.arrive(**changes)
            self.assertEqual(('outcome_unknown', code), self.answer(refused))
        draining = messages.MissingReason.NODE_DRAINING
        self.handle(messages.ServingChanged(draining))
        refused = self.arrive(first_attempt=True)
        self.assertEqual(('not_run', 'node_draining'), self.answer(refused))
        self.assertEqual({}, self.state.running)

    def test_memory_is_bounded(self):
        """Guards against unbounded growth while results are missing."""
        for number in range(mutation.MAX_RUNNING):
            self.arrive(mutation_id=str(number))
        self.assertEqual('overload', self.answer(self.arrive())[1])
        self.reply(STATUSES.OK, 5, token='3')
        drop = mutation.MutationTimer('3', mutation.TimerKind.DROP)
        self.handle(drop)
        self.assertIsNone(self.answer(self.arrive()))

    def test_resolve_waits_for_the_claimant(self):
        """Guards against a resolve while the claimant may still send."""
        outcome = messages.ClaimOutcome.RAN
        resolve = messages.MutationResolve('q', 'k', outcome, 'op')
        for now_ms, code in ((1_500, 'claim_in_use'), (1_501, None)):
            self.now_ms = now_ms
            self.call(self.handle(resolve))
            commands = self.reply(STATUSES.OK, 7, self.found(), 'q')
            if code:
                self.assertEqual(
                    ('outcome_unknown', code), self.answer(commands)
                )
        write = self.call(commands)
        self.assertEqual(
            (7, 'op'), (write.expected_revision, write.claim.operator)
        )
        report = self.reply(STATUSES.OK, 8, token='q')[0]
        self.assertEqual(messages.ClaimPhase.RESOLVED, report.claim.phase)
        self.assertEqual({}, self.state.pending_lookups)

    def test_sweep_removes_expired_claims_only(self):
        """Guards against the loss of a claim whose key can still be used."""
        listed = self.call(self.handle(mutation.SweepTimer()))
        self.assertEqual(OPERATIONS.LIST, listed.operation)
        for age_ms, count in ((500, 0), (501, 1)):
            expiry_ms = WALL_MS - age_ms
            items = self.found(key_expires_at_ms=expiry_ms)
            deletes = self.reply(STATUSES.OK, 9, items, 'sweep-list')
            self.assertEqual(count, len(deletes))
        self.assertEqual(7, deletes[0].expected_revision)
