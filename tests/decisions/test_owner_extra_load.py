import unittest

import hypothesis
from hypothesis import strategies

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import owner
from tests.decisions import fixtures

Request = messages.EndpointRequest
Status = messages.EndpointStatus


def first_request(state, event):
    commands = owner.handle(state, event, 0)
    return fixtures.of_type(commands, Request)[0]


class ExtraLoadTest(unittest.TestCase):
    def test_a_mutation_is_never_retried_or_hedged(self):
        """Guards against a mutation that runs twice."""
        for status in Status:
            state = fixtures.warm_owner()
            commands = owner.handle(state, fixtures.mutation('m'), 0)
            request = fixtures.of_type(commands, Request)[0]
            self.assertEqual([], fixtures.of_type(commands, messages.Timer))
            hedged = owner.handle(state, owner.HedgeTimer(request.call_id), 1)
            ended = owner.handle(
                state, fixtures.reply(request, status, False), 2
            )
            self.assertEqual([], fixtures.of_type(hedged + ended, Request))
            self.assertEqual(
                1, len(fixtures.sent(ended, messages.MutationResult))
            )

    def test_a_hedge_goes_to_another_replica(self):
        """Guards against a second request to the same straggler."""
        state = fixtures.warm_owner(replicas=3)
        state.budget('svc').tokens = 10.0
        found = state.sets[('svc', 's0')]
        request = first_request(state, fixtures.batch('q'))
        for replica in found.replicas.values():
            # The replica of the first request still has the lowest cost.
            if replica.endpoint.name != request.endpoint:
                owner.record_success(replica, 60, 0)
        commands = owner.handle(state, owner.HedgeTimer(request.call_id), 50)
        hedges = fixtures.of_type(commands, Request)
        self.assertEqual(1, len(hedges))
        self.assertNotEqual(request.endpoint, hedges[0].endpoint)
        again = owner.handle(state, owner.HedgeTimer(request.call_id), 60)
        self.assertEqual([], fixtures.of_type(again, Request))

    def test_no_hedge_without_a_free_slot(self):
        """Guards against hedges that overcommit an endpoint."""
        state = fixtures.warm_owner()
        request = first_request(state, fixtures.batch('q'))
        for name in range(3):
            owner.handle(state, fixtures.batch(name), 0)
        commands = owner.handle(state, owner.HedgeTimer(request.call_id), 50)
        self.assertEqual([], fixtures.of_type(commands, Request))

    def test_a_late_hedge_takes_the_next_free_slot(self):
        """Guards against calls that wait for a straggler as long as other
        calls are queued.
        """
        state = fixtures.warm_owner()
        commands = []
        for name in range(9):
            commands += owner.handle(state, fixtures.batch(name), 0)
        first, *others = fixtures.of_type(commands, Request)
        timer = owner.HedgeTimer(first.call_id, late=True)
        owner.handle(state, timer, 60)
        other = next(o for o in others if o.endpoint != first.endpoint)
        started = owner.handle(state, fixtures.reply(other), 61)
        [request] = fixtures.of_type(started, Request)
        self.assertEqual(other.endpoint, request.endpoint)
        self.assertEqual(2, len(state.calls[first.call_id].tried))

    def test_cancelled_requests_raise_the_latency_of_a_replica(self):
        """Guards against a straggler that keeps getting first attempts
        because its cancelled requests yield no latency samples.
        """
        state = fixtures.warm_owner()
        request = first_request(state, fixtures.batch('q'))
        owner.handle(state, messages.CancelBatch('front', 'q', 1), 400)
        lost = fixtures.reply(request, Status.LOST)
        owner.handle(state, lost, 405)
        slow = state.sets[('svc', 's0')].replicas[request.endpoint]
        self.assertGreater(slow.latency.expected_ms(405), 200)

    def test_an_unreachable_replica_costs_no_budget(self):
        """Guards against shards that are missing because a lost replica
        exhausted the retry budget.
        """
        state = fixtures.warm_owner()
        state.budget('svc').tokens = 0.0
        request = first_request(state, fixtures.batch('q'))
        failed = fixtures.reply(request, Status.UNREACHABLE, False)
        moved = fixtures.of_type(owner.handle(state, failed, 2), Request)
        self.assertEqual(1, len(moved))
        self.assertNotEqual(request.endpoint, moved[0].endpoint)

    def test_no_hedge_to_an_ejected_replica(self):
        """Guards against extra load on a replica that cannot serve it."""
        state = fixtures.warm_owner()
        state.budget('svc').tokens = 10.0
        request = first_request(state, fixtures.batch('q'))
        for replica in state.sets[('svc', 's0')].replicas.values():
            if replica.endpoint.name != request.endpoint:
                replica.ejected_until_ms = 1_000
        commands = owner.handle(state, owner.HedgeTimer(request.call_id), 50)
        self.assertEqual([], fixtures.of_type(commands, Request))

    def test_no_hedge_or_retry_while_a_rank_is_shed(self):
        """Guards against extra load that worsens an overload."""
        state = fixtures.warm_owner()
        request = first_request(state, fixtures.batch('q'))
        state.sets[('svc', 's0')].admission('archive').level = 0.5
        hedged = owner.handle(state, owner.HedgeTimer(request.call_id), 50)
        failed = owner.handle(state, fixtures.reply(request, Status.LOST), 51)
        self.assertEqual([], fixtures.of_type(hedged + failed, Request))

    def test_ejection_never_empties_a_set(self):
        """Guards against false ejections of all replicas of a shard."""
        state = fixtures.warm_owner()
        replicas = state.sets[('svc', 's0')].replicas.values()
        for name in range(40):
            commands = owner.handle(state, fixtures.batch(name), name)
            running = fixtures.of_type(commands, Request)
            while running:
                lost = fixtures.reply(running.pop(), Status.LOST)
                commands = owner.handle(state, lost, name)
                running += fixtures.of_type(commands, Request)
            self.assertTrue(any(r.ejected_until_ms <= name for r in replicas))
        self.assertTrue(any(r.ejected_until_ms > 40 for r in replicas))

    def test_ejected_replicas_are_used_when_no_other_is_left(self):
        """Guards against calls without a replica when the last healthy one is
        leaving.
        """
        state = fixtures.warm_owner()
        first, second = state.sets[('svc', 's0')].replicas.values()
        first.ejected_until_ms = 1_000
        second.leaving_sources.add('host_list')
        request = first_request(state, fixtures.batch('q'))
        self.assertEqual(first.endpoint.name, request.endpoint)

    def test_a_call_that_may_have_run_is_not_reported_as_not_run(self):
        """Guards against a false not-run outcome."""
        state = fixtures.warm_owner(replicas=1)
        request = first_request(state, fixtures.batch('q'))
        ended = owner.handle(state, fixtures.reply(request, Status.LOST), 5)
        self.assertEqual(
            messages.PartOutcome.FAILED, fixtures.parts(ended)[0].outcome
        )

    def test_an_expired_retry_is_not_reported_as_not_run(self):
        """Guards against a false not-run outcome after a first attempt."""
        state = fixtures.warm_owner()
        request = first_request(state, fixtures.batch('q', remaining_ms=50))
        for name in range(3):
            owner.handle(state, fixtures.batch(name), 0)
        owner.handle(state, fixtures.reply(request, Status.LOST), 5)
        ended = owner.handle(state, fixtures.batch('late'), 60)
        [part] = fixtures.parts(ended)
        self.assertEqual(messages.PartOutcome.FAILED, part.outcome)


class RandomOrderTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ['arrive', 'reply', 'cancel', 'hedge']
                ),
                strategies.integers(0, 9),
                strategies.sampled_from(list(Status)),
            ),
            max_size=80,
        )
    )
    def test_slots_and_results_hold_in_any_order(self, steps):
        """Guards against overcommitted slots, lost calls and calls reported
        twice.
        """
        state = fixtures.warm_owner()
        running, reported, cancelled = [], [], set()
        for now_ms, (action, number, status) in enumerate(steps):
            commands = []
            if action == 'arrive':
                commands = owner.handle(state, fixtures.batch(now_ms), now_ms)
            elif action == 'cancel':
                cancel = messages.CancelBatch('front', str(number), 1)
                commands = owner.handle(state, cancel, now_ms)
                cancelled.add(str(number))
            elif running and action == 'reply':
                request = running.pop(number % len(running))
                answer = fixtures.reply(request, status)
                commands = owner.handle(state, answer, now_ms)
            elif running:
                timer = owner.HedgeTimer(running[0].call_id)
                commands = owner.handle(state, timer, now_ms)
            running += fixtures.of_type(commands, Request)
            for sent in fixtures.sent(commands, messages.PartBatch):
                reported.append(sent.query_id)
            for replica in state.sets[('svc', 's0')].replicas.values():
                self.assertLessEqual(len(replica.running), 2)
        self.assertEqual(len(reported), len(set(reported)))
        waiting = {key[1] for key in state.batches}
        arrived = {str(i) for i, s in enumerate(steps) if s[0] == 'arrive'}
        self.assertEqual(
            arrived - cancelled, (waiting | set(reported)) - cancelled
        )
