"""The test case that the tests of the mutation task share."""

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


class ClaimCase(unittest.TestCase):
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
        """Return another node's claim as read from the store."""
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

    def answer(self, commands):
        """Return the answer to the caller, or None without one.

        It is the run state and code of a refusal, or the outcome and
        whether it is a recorded one.
        """
        for command in commands:
            if isinstance(command, messages.Refusal):
                return str(command.run_state), command.code
            if isinstance(command, messages.MutationAnswer):
                return str(command.claim.outcome), command.recorded
        return None
