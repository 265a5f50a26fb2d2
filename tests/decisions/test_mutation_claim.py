"""The claim protocol, tested through the mutation task's decisions."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import mutation
from tests.decisions import claim_case

OPERATIONS = claim_case.OPERATIONS
STATUSES = claim_case.STATUSES


class ClaimTest(claim_case.ClaimCase):
    def test_claim_comes_before_the_request(self):
        """Guards against sending a request before its claim is held."""
        commands = self.arrive()
        self.assertEqual([], self.sent(commands))
        write = self.call(commands)
        self.assertEqual(0, write.expected_revision)
        call = self.sent(self.reply(STATUSES.OK, 5))[0].message
        self.assertEqual('k', call.idempotency_key)
        ended = self.result(messages.PartOutcome.COVERED)
        self.assertEqual(('ran', False), self.answer(ended))
        record = self.call(ended)
        self.assertEqual(5, record.expected_revision)
        self.assertEqual(b'"done"', record.claim.payload)
        again = self.result(messages.PartOutcome.COVERED)
        self.assertEqual(None, self.answer(again))
        self.reply(STATUSES.OK, 6)
        self.assertEqual({}, self.state.running)

    def test_large_payload_is_omitted_from_the_record(self):
        """Guards against records that fill the store."""
        self.arrive()
        self.reply(STATUSES.OK, 5)
        large = b'1' * (mutation.MAX_RECORDED_PAYLOAD_BYTES + 1)
        claim = self.call(
            self.result(messages.PartOutcome.COVERED, large)
        ).claim
        self.assertEqual((b'', True), (claim.payload, claim.payload_omitted))

    def test_lost_claim_reply_is_read_back(self):
        """Guards against assuming the result of a write with a lost reply."""
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

    def test_recorded_outcome_is_repeated(self):
        """Guards against a repeat that runs, or wrongly reports not_run."""
        phases = messages.ClaimPhase
        ran = messages.ClaimOutcome.RAN
        for changes, expected in (
            ({'phase': phases.DONE, 'outcome': ran}, ('ran', True)),
            ({'phase': phases.RESOLVED, 'outcome': ran}, ('ran', True)),
            ({'fingerprint': 'x'}, ('outcome_unknown', 'conflict')),
        ):
            self.arrive(first_attempt=True)
            self.reply(STATUSES.CONFLICT, 7)
            commands = self.reply(STATUSES.OK, 7, self.found(**changes))
            self.assertEqual([], self.sent(commands))
            self.assertEqual(expected, self.answer(commands))
            self.assertEqual({}, self.state.running)

    def test_earlier_claim_disproves_a_first_attempt(self):
        """Guards against not_run when another request may have run."""
        for lost in (False, True):
            self.setUp()
            self.arrive(first_attempt=True)
            if lost:
                self.reply(STATUSES.UNKNOWN)
                self.reply(STATUSES.OK, 7, self.found())
                answer = self.answer(self.timer('deadline'))
            else:
                self.reply(STATUSES.CONFLICT, 7)
                answer = self.answer(self.reply(STATUSES.UNAVAILABLE))
            self.assertEqual('outcome_unknown', answer[0])

    def test_released_claim_is_claimed_by_compare_and_swap(self):
        """Guards against two nodes that both acquire a released claim."""
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
        self.assertEqual(('not_run', 'overload'), self.answer(ended))
        release = self.call(ended)
        self.assertEqual(5, release.expected_revision)
        self.assertEqual(messages.ClaimPhase.RELEASED, release.claim.phase)
        self.assertLess(
            [isinstance(c, messages.Refusal) for c in ended].index(True),
            ended.index(release),
        )
        self.reply(STATUSES.UNAVAILABLE)
        self.assertEqual(release, self.call(self.timer('resume')))

    def test_unknown_outcome_keeps_the_claim(self):
        """Guards against a release after a byte may have been sent."""
        self.arrive()
        self.reply(STATUSES.OK, 5)
        ended = self.result(messages.PartOutcome.FAILED)
        self.assertEqual(('outcome_unknown', 'overload'), self.answer(ended))
        calls = [c for c in ended if isinstance(c, messages.ClaimCall)]
        self.assertEqual([], calls)

    def test_claim_that_may_be_written_is_undone_later(self):
        """Guards against a key that an unsent request blocks permanently."""
        self.arrive()
        self.reply(STATUSES.UNKNOWN)
        self.assertIsNotNone(self.answer(self.reply(STATUSES.UNAVAILABLE)))
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
