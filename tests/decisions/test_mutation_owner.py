"""How an owner handles mutations."""

import dataclasses
import unittest

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import owner
from gypsumbridge_decisions import resources
from gypsumbridge_standins.deployment import build

CALL = messages.MutationCall(
    sender='front',
    mutation_id='m-1',
    idempotency_key='k',
    service='verify-portal',
    version='v1',
    shard='s001',
    replica_set='set-01',
    rank='border',
    caller='c',
    remaining_ms=1_000,
    body=b'{}',
)


def make_catalog():
    made = build.build(build.SMALL_GROUPS, range(1, 100), 5.0)
    return catalog.make_catalog(
        1,
        [
            resources.Resource(resources.kind_of(s), s.name, 1, 1, '', s)
            for s in made.specs
        ],
    )


def sent(commands):
    return [c for c in commands if isinstance(c, messages.EndpointRequest)]


def results(commands):
    return [c.message for c in commands if isinstance(c, messages.ToPeer)]


class OwnerMutationTest(unittest.TestCase):
    def setUp(self):
        self.state = owner.make_owner_state('owner')
        self.handle(messages.CatalogChanged(make_catalog()))
        self.handle(messages.ServingChanged(messages.MissingReason.NONE))

    def handle(self, message, now_ms=0):
        return owner.handle(self.state, message, now_ms)

    def reply(self, request, status, executed):
        return self.handle(
            messages.EndpointReply(
                call_id=request.call_id,
                endpoint=request.endpoint,
                status=status,
                executed=executed,
                shard='s001',
                version='v1',
                payload=b'{}',
                leaving=False,
            )
        )

    def test_duplicate_after_completion_is_not_run(self):
        """Guards against a late duplicate of the message that runs again."""
        request = sent(self.handle(CALL))[0]
        self.assertEqual([], sent(self.handle(CALL)))
        self.reply(request, messages.EndpointStatus.OK, True)
        for now_ms in (0, owner.MUTATION_DEDUP_WINDOW_MS - 1):
            again = self.handle(CALL, now_ms)
            self.assertEqual(
                [messages.Count('owner.mutations.duplicate')], again
            )

    def test_memory_of_mutations_is_bounded(self):
        """Guards against unbounded memory, and against not_run for a
        mutation that may still run.
        """
        self.state.mutations = {
            ('front', str(n)): 1 for n in range(owner.MAX_DEDUP_MUTATIONS)
        }
        full = self.handle(CALL, 2)
        self.assertEqual([messages.Count('owner.mutations.memory_full')], full)
        later = self.handle(CALL, owner.MUTATION_DEDUP_WINDOW_MS + 1)
        self.assertEqual(1, len(sent(later)))
        self.assertEqual(1, len(self.state.mutations))

    def test_mutation_without_a_key_is_dropped(self):
        """Guards against a mutation that is hedged like a search."""
        no_key = dataclasses.replace(CALL, idempotency_key='')
        self.assertEqual([], sent(self.handle(no_key)))

    def test_lost_mutation_is_neither_hedged_nor_retried(self):
        """Guards against a second request after a byte may have been sent."""
        first = self.handle(CALL)
        self.assertFalse([c for c in first if isinstance(c, messages.Timer)])
        request = sent(first)[0]
        hedged = self.handle(owner.HedgeTimer(request.call_id), 500)
        self.assertEqual([], sent(hedged))
        ended = self.reply(request, messages.EndpointStatus.LOST, True)
        self.assertEqual([], sent(ended))
        self.assertEqual(
            messages.PartOutcome.FAILED, results(ended)[0].outcome
        )

    def test_not_run_only_when_nothing_ran(self):
        """Guards against not_run with an unknown outcome, and the reverse."""
        statuses = messages.EndpointStatus
        outcomes = messages.PartOutcome
        for number, (status, executed, outcome) in enumerate(
            (
                (statuses.UNREACHABLE, False, outcomes.NOT_RUN),
                (statuses.SHED, False, outcomes.NOT_RUN),
                (statuses.DRAINING, False, outcomes.NOT_RUN),
                (statuses.REFUSED, True, outcomes.FAILED),
                (statuses.INVALID, True, outcomes.FAILED),
            )
        ):
            call = dataclasses.replace(CALL, mutation_id=f'm-{number}')
            request = sent(self.handle(call, number * 1_000))[0]
            ended = self.reply(request, status, executed)
            self.assertEqual([], sent(ended), status)
            self.assertEqual(outcome, results(ended)[0].outcome, status)
