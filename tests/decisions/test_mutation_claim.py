"""The claim protocol through the decisions of the mutation task."""

import dataclasses
import unittest

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import mutation
from tests.decisions import test_mutation_owner

WALL_MS = 1_000_000
OPERATIONS = messages.StoreOperation
STATUSES = messages.StoreStatus
MUTATION = messages.Mutation(
    mutation_id='m-1',
    request_id='r',
    service='verify-portal',
    shard='s001',
    rank='border',
    caller='c',
    deadline_ms=1_000,
    idempotency_key='k',
    key_expires_at_ms=WALL_MS + 60_000,
    first_attempt=False,
    body=b'{}',
)


class ClaimTest(unittest.TestCase):
    def setUp(self):
        limits = mutation.Limits(500, 100_000)
        self.state = mutation.make_mutation_state('node', limits)
        self.now_ms = 0
        self.handle(
            messages.CatalogChanged(test_mutation_owner.make_catalog())
        )
        member = messages.Member('node', 'fd-a', '', '')
        self.handle(messages.MembersChanged((member,)))
        self.handle(messages.ServingChanged(messages.MissingReason.NONE))

    def handle(self, message):
        return mutation.handle(
            self.state, message, self.now_ms, WALL_MS + self.now_ms
        )

    def arrive(self, **changes):
        return self.handle(dataclasses.replace(MUTATION, **changes))

    def reply(self, status, revision=0, items=(), token='m-1'):
        return self.handle(messages.ClaimReply(token, status, revision, items))

    def found(self, **changes):
        """Return another node's claim as the store would."""
        claim = messages.Claim(
            phase=messages.ClaimPhase.CLAIMED,
            claimant='other',
            nonce='m-2',
            fingerprint=mutation.fingerprint(MUTATION),
            key_expires_at_ms=WALL_MS + 60_000,
            send_before_ms=WALL_MS + 1_000,
        )
        claim = dataclasses.replace(claim, **changes)
        return (messages.ClaimItem('k', claim, 7),)

    def result(self, outcome, payload=b'"done"'):
        return self.handle(
            messages.MutationResult(
                'node',
                'm-1',
                outcome,
                messages.MissingReason.OVERLOAD,
                payload,
                '',
            )
        )

    def timer(self, kind):
        return self.handle(
            mutation.MutationTimer('m-1', mutation.TimerKind(kind))
        )

    def call(self, commands):
        calls = [c for c in commands if isinstance(c, messages.ClaimCall)]
        self.assertEqual(1, len(calls), commands)
        return calls[0]

    def sent(self, commands):
        return [c for c in commands if isinstance(c, messages.ToPeer)]

    def told(self, commands):
        """Return run state or outcome, and code, or None if untold."""
        for command in commands:
            if isinstance(command, messages.Refusal):
                return str(command.run_state), command.code
            if isinstance(command, messages.MutationAnswer):
                return str(command.claim.outcome), command.recorded
        return None

    def test_claim_comes_before_the_request(self):
        """Guards against a byte that leaves before the claim is held."""
        commands = self.arrive()
        self.assertEqual([], self.sent(commands))
        write = self.call(commands)
        self.assertEqual(0, write.expected_revision)
        call = self.sent(self.reply(STATUSES.OK, 5))[0].message
        self.assertEqual('k', call.idempotency_key)
        ended = self.result(messages.PartOutcome.COVERED)
        self.assertEqual(('ran', False), self.told(ended))
        record = self.call(ended)
        self.assertEqual(5, record.expected_revision)
        self.assertEqual(b'"done"', record.claim.payload)
        again = self.result(messages.PartOutcome.COVERED)
        self.assertEqual(None, self.told(again))
        self.reply(STATUSES.OK, 6)
        self.assertEqual({}, self.state.running)

    def test_large_payload_is_left_out_of_the_record(self):
        """Guards against records that fill the store."""
        self.arrive()
        self.reply(STATUSES.OK, 5)
        large = b'1' * (mutation.MAX_RECORDED_PAYLOAD_BYTES + 1)
        claim = self.call(
            self.result(messages.PartOutcome.COVERED, large)
        ).claim
        self.assertEqual((b'', True), (claim.payload, claim.payload_omitted))

    def test_lost_claim_reply_is_read_back(self):
        """Guards against a claim that is taken or given up by guess."""
        own = dataclasses.replace(self.found()[0].claim, nonce='m-1')
        for items, status, sends in (
            ((messages.ClaimItem('k', own, 5),), STATUSES.OK, 1),
            (self.found(), STATUSES.OK, 0),
            ((), STATUSES.NOT_FOUND, 0),
            ((), STATUSES.UNAVAILABLE, 0),
        ):
            self.setUp()
            self.arrive()
            read = self.call(self.reply(STATUSES.UNKNOWN))
            self.assertEqual(OPERATIONS.READ, read.operation)
            commands = self.reply(status, 9, items)
            self.assertEqual(sends, len(self.sent(commands)), status)
            if status == STATUSES.NOT_FOUND:
                self.assertEqual('m-1', self.call(commands).claim.nonce)

    def test_what_others_recorded_is_repeated(self):
        """Guards against a repeat that runs, or says not_run unduly."""
        phases = messages.ClaimPhase
        ran = messages.ClaimOutcome.RAN
        for changes, told in (
            ({'phase': phases.DONE, 'outcome': ran}, ('ran', True)),
            ({'phase': phases.RESOLVED, 'outcome': ran}, ('ran', True)),
            ({'fingerprint': 'x'}, ('outcome_unknown', 'conflict')),
        ):
            self.arrive(first_attempt=True)
            self.reply(STATUSES.CONFLICT, 7)
            commands = self.reply(STATUSES.OK, 7, self.found(**changes))
            self.assertEqual([], self.sent(commands))
            self.assertEqual(told, self.told(commands))
            self.assertEqual({}, self.state.running)

    def test_earlier_claim_disproves_a_first_attempt(self):
        """Guards against not_run when another request may have run."""
        for lost in (False, True):
            self.setUp()
            self.arrive(first_attempt=True)
            if lost:
                self.reply(STATUSES.UNKNOWN)
                self.reply(STATUSES.OK, 7, self.found())
                told = self.told(self.timer('deadline'))
            else:
                self.reply(STATUSES.CONFLICT, 7)
                told = self.told(self.reply(STATUSES.UNAVAILABLE))
            self.assertEqual('outcome_unknown', told[0])

    def test_released_claim_is_claimed_by_compare_and_swap(self):
        """Guards against two nodes that both take a released claim."""
        self.arrive()
        self.reply(STATUSES.CONFLICT, 7)
        waiting = self.reply(STATUSES.OK, 7, self.found())
        self.assertEqual([], self.sent(waiting))
        self.assertEqual(
            OPERATIONS.READ, self.call(self.timer('resume')).operation
        )
        released = self.found(phase=messages.ClaimPhase.RELEASED)
        write = self.call(self.reply(STATUSES.OK, 7, released))
        self.assertEqual(
            (7, 'm-1'), (write.expected_revision, write.claim.nonce)
        )

    def test_refusal_by_the_owner_releases_the_claim(self):
        """Guards against keys that stay blocked after a shed mutation."""
        self.arrive()
        self.reply(STATUSES.OK, 5)
        ended = self.result(messages.PartOutcome.NOT_RUN)
        self.assertEqual(('not_run', 'overload'), self.told(ended))
        release = self.call(ended)
        self.assertEqual(5, release.expected_revision)
        self.assertEqual(messages.ClaimPhase.RELEASED, release.claim.phase)
        self.assertLess(
            [isinstance(c, messages.Refusal) for c in ended].index(True),
            ended.index(release),
        )
        self.reply(STATUSES.UNAVAILABLE)
        self.assertEqual(release, self.call(self.timer('resume')))

    def test_unknown_end_keeps_the_claim(self):
        """Guards against a release after a byte may have left."""
        self.arrive()
        self.reply(STATUSES.OK, 5)
        ended = self.result(messages.PartOutcome.FAILED)
        self.assertEqual(('outcome_unknown', 'overload'), self.told(ended))
        calls = [c for c in ended if isinstance(c, messages.ClaimCall)]
        self.assertEqual([], calls)

    def test_nothing_is_sent_after_the_deadline(self):
        """Guards against a claim that arrives late and is sent."""
        self.arrive(first_attempt=True)
        self.now_ms = 995
        told = self.told(self.timer('deadline'))
        self.assertEqual(('not_run', 'deadline'), told)
        late = self.reply(STATUSES.OK, 5)
        self.assertEqual([], self.sent(late))
        self.assertEqual(
            messages.ClaimPhase.RELEASED, self.call(late).claim.phase
        )

    def test_paused_claimant_does_not_send(self):
        """Guards against a claimant that continues past deadline or expiry."""
        for paused_ms, told in (
            (1_000, 'not_run'),
            (60_000, 'outcome_unknown'),
        ):
            self.setUp()
            self.arrive()
            self.now_ms = paused_ms
            late = self.reply(STATUSES.OK, 5)
            self.assertEqual([], self.sent(late))
            self.assertEqual((told, 'deadline'), self.told(late))

    def test_store_out_refuses_unsent(self):
        """Guards against not_run of a key that may have been used."""
        for first, told in ((True, 'not_run'), (False, 'outcome_unknown')):
            self.arrive(first_attempt=first)
            commands = self.reply(STATUSES.UNAVAILABLE)
            self.assertEqual((told, 'store_unavailable'), self.told(commands))
            self.assertEqual({}, self.state.running)

    def test_claim_that_may_be_written_is_undone_later(self):
        """Guards against a key that an unsent request blocks for good."""
        self.arrive()
        self.reply(STATUSES.UNKNOWN)
        self.assertIsNotNone(self.told(self.reply(STATUSES.UNAVAILABLE)))
        read = self.call(self.timer('resume'))
        self.assertEqual(OPERATIONS.READ, read.operation)
        tombstone = self.call(self.reply(STATUSES.NOT_FOUND))
        self.assertEqual(0, tombstone.expected_revision)
        self.assertEqual(messages.ClaimPhase.RELEASED, tombstone.claim.phase)
        self.call(self.reply(STATUSES.CONFLICT, 5))
        own = dataclasses.replace(self.found()[0].claim, nonce='m-1')
        release = self.call(
            self.reply(STATUSES.OK, 5, (messages.ClaimItem('k', own, 5),))
        )
        self.assertEqual(5, release.expected_revision)
        self.reply(STATUSES.OK, 6)
        self.assertEqual({}, self.state.running)

    def test_refused_before_the_claim(self):
        """Guards against unusable requests that reach the store."""
        for changes, code in (
            ({'key_expires_at_ms': WALL_MS}, 'key_expired'),
            ({'key_expires_at_ms': WALL_MS + 100_001}, 'key_expiry_too_late'),
            ({'shard': 'none'}, 'unknown_shard'),
            ({'rank': 'none'}, 'unknown_rank'),
            ({'service': 'none'}, 'unknown_service'),
        ):
            refused = self.arrive(**changes)
            self.assertEqual(('outcome_unknown', code), self.told(refused))
        draining = messages.MissingReason.NODE_DRAINING
        self.handle(messages.ServingChanged(draining))
        refused = self.arrive(first_attempt=True)
        self.assertEqual(('not_run', 'node_draining'), self.told(refused))
        self.assertEqual({}, self.state.running)

    def test_memory_is_bounded(self):
        """Guards against growth while results stay out."""
        for number in range(mutation.MAX_RUNNING):
            self.arrive(mutation_id=str(number))
        self.assertEqual('overload', self.told(self.arrive())[1])
        self.reply(STATUSES.OK, 5, token='3')
        drop = mutation.MutationTimer('3', mutation.TimerKind.DROP)
        self.handle(drop)
        self.assertIsNone(self.told(self.arrive()))

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
                    ('outcome_unknown', code), self.told(commands)
                )
        write = self.call(commands)
        self.assertEqual(
            (7, 'op'), (write.expected_revision, write.claim.operator)
        )
        report = self.reply(STATUSES.OK, 8, token='q')[0]
        self.assertEqual(messages.ClaimPhase.RESOLVED, report.claim.phase)
        self.assertEqual({}, self.state.inquiries)

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
