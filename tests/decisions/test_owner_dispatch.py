import dataclasses
import unittest

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import owner
from tests.decisions import fixtures

Request = messages.EndpointRequest


def run_requests(state, commands, rounds, now_ms=0):
    """Reply to requests one by one; return query ids in completion order."""
    running = fixtures.of_type(commands, Request)
    order = []
    for _ in range(rounds):
        if not running:
            break
        commands = owner.handle(state, fixtures.reply(running.pop(0)), now_ms)
        finished = fixtures.sent(commands, messages.PartBatch)
        order += [found.query_id for found in finished]
        running += fixtures.of_type(commands, Request)
    return order


def fill(state, names, now_ms=0, **fields):
    commands = []
    for name in names:
        commands += owner.handle(state, fixtures.batch(name, **fields), now_ms)
    return commands


class DispatchTest(unittest.TestCase):
    def test_a_backlogged_rank_gets_its_floor(self):
        """Guards against an urgent flood that starves lower ranks."""
        state = fixtures.warm_owner()
        commands = fill(state, [f'b{i}' for i in range(500)])
        commands += fill(state, [f'a{i}' for i in range(100)], rank='archive')
        order = run_requests(state, commands, 300)
        archive = sum(name.startswith('a') for name in order)
        self.assertGreaterEqual(archive, 28)
        self.assertLessEqual(archive, 32)

    def test_floors_leave_no_slot_idle(self):
        """Guards against slots reserved for ranks without queued calls."""
        state = fixtures.warm_owner()
        commands = fill(state, [f'a{i}' for i in range(9)], rank='archive')
        self.assertEqual(4, len(fixtures.of_type(commands, Request)))

    def test_calls_of_a_deleted_rank_are_refused_at_once(self):
        """Guards against calls that stay queued until their deadline because
        dispatch iterates over declared ranks only.
        """
        state = fixtures.warm_owner()
        fill(state, [f'a{i}' for i in range(9)], rank='archive')
        ranks = {'border': fixtures.RANKS[0]}
        found = dataclasses.replace(
            state.catalog, ranks=ranks, ranks_by_urgency=(ranks['border'],)
        )
        commands = owner.handle(state, messages.CatalogChanged(found), 1)
        parts = fixtures.parts(commands)
        self.assertEqual(5, len(parts))
        outcomes = {(part.outcome, part.reason) for part in parts}
        self.assertEqual({('not_run', 'configuration_stale')}, outcomes)
        self.assertEqual(4, len(state.batches))

    def test_names_in_messages_leave_no_state(self):
        """Guards against memory growth from undeclared names of a peer."""
        state = fixtures.warm_owner()
        declared = set(state.sets)
        for number in range(9):
            batch = fixtures.batch('q', rank=f'r{number}')
            call = messages.ShardCall('s', f's{number}x')
            batch = dataclasses.replace(
                batch, attempt=number, calls=(*batch.calls, call)
            )
            commands = owner.handle(state, batch, 0)
            self.assertEqual(2, len(fixtures.parts(commands)))
        self.assertEqual(declared, set(state.sets))
        admissions = state.sets[('svc', 's0')].admissions
        self.assertLessEqual(admissions.keys(), {'border', 'archive'})

    def test_urgent_calls_are_dispatched_first(self):
        """Guards against dispatch in order of arrival."""
        state = fixtures.warm_owner()
        commands = fill(state, [f'a{i}' for i in range(9)], rank='archive')
        commands += fill(state, ['b0', 'b1'])
        order = run_requests(state, commands, 6)
        self.assertEqual({'b0', 'b1'}, set(order[4:6]))

    def test_a_flooding_caller_does_not_starve_its_rank(self):
        """Guards against a queue that serves one caller before all others."""
        state = fixtures.warm_owner()
        commands = fill(state, [f'f{i}' for i in range(50)], caller='flood')
        commands += fill(state, ['x'], caller='other')
        order = run_requests(state, commands, 7)
        self.assertIn('x', order)

    def test_expired_calls_never_take_a_slot(self):
        """Guards against slots spent on calls past their deadline."""
        state = fixtures.warm_owner()
        commands = fill(state, [f'b{i}' for i in range(6)], remaining_ms=30)
        running = fixtures.of_type(commands, Request)
        ended = owner.handle(state, fixtures.reply(running[0]), 31)
        self.assertEqual([], fixtures.of_type(ended, Request))
        late = [p for p in fixtures.parts(ended) if p.attempts == 0]
        self.assertEqual(
            {(messages.PartOutcome.NOT_RUN, messages.MissingReason.DEADLINE)},
            {(p.outcome, p.reason) for p in late},
        )

    def test_cancel_frees_queue_entries_and_keeps_slots(self):
        """Guards against cancelled calls that still run, and against a slot
        that is reused while the endpoint still runs the old request.
        """
        state = fixtures.warm_owner()
        fill(state, [f'b{i}' for i in range(6)])
        queue = state.sets[('svc', 's0')].queue('border')
        self.assertEqual(2, queue.length)
        for name in ('b4', 'b5', 'b0'):
            commands = owner.handle(
                state, messages.CancelBatch('front', name, 1), 1
            )
        self.assertEqual(0, queue.length)
        cancels = fixtures.of_type(commands, messages.EndpointCancel)
        self.assertEqual(1, len(cancels))
        commands = fill(state, ['b6'], 1)
        self.assertEqual([], fixtures.of_type(commands, Request))


class AdmissionTest(unittest.TestCase):
    def test_a_refused_call_was_not_run(self):
        """Guards against calls that are refused only at their deadline."""
        state = fixtures.warm_owner()
        commands = fill(state, range(40), remaining_ms=100)
        refused = [p for p in fixtures.parts(commands)]
        self.assertTrue(refused)
        for part in refused:
            self.assertEqual(messages.PartOutcome.NOT_RUN, part.outcome)
            self.assertEqual(0, part.attempts)

    def test_the_level_stays_near_the_served_rate(self):
        """Guards against a level that falls until the queue is empty."""
        admission = owner.Admission()
        now_ms, queued, levels = 0, 300.0, []
        for step in range(100):
            now_ms += 100
            admission.adjust(int(queued), queued * 10, 200, now_ms)
            arrivals = [(i * 37 + step) % 80 / 80 for i in range(80)]
            queued += sum(admission.admit(key) for key in arrivals)
            for _ in range(min(int(queued), 20)):
                admission.record_dispatch()
                queued -= 1
            levels.append(admission.level)
        self.assertGreater(min(levels), 0.08)
        self.assertLess(max(levels[20:]), 0.5)

    def test_the_level_recovers_after_an_idle_period(self):
        """Guards against a level that stays low after a flood."""
        admission = owner.Admission()
        admission.level = 0.05
        admission.adjust(0, 0.0, 200, 3_000)
        self.assertFalse(admission.shedding())
