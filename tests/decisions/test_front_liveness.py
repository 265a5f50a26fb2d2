import unittest

from gypsumbridge_decisions import front
from gypsumbridge_decisions import messages
from tests.decisions import fixtures


def liveness_timer(commands):
    timers = fixtures.of_type(commands, messages.Timer)
    found = [t for t in timers if isinstance(t.event, front.LivenessTimer)]
    return found[-1].event if found else None


def hedged(commands):
    return [
        c.message
        for c in fixtures.of_type(commands, messages.ToPeer)
        if isinstance(c.message, messages.ShardBatch) and c.message.hedged
    ]


class LivenessTest(unittest.TestCase):
    def setUp(self):
        self.state = fixtures.serving_front(shards=1)
        self.commands = front.handle(self.state, fixtures.query(), 0)
        self.timer = liveness_timer(self.commands)
        self.owner = self.timer.node_id

    def fire(self, now_ms):
        commands = front.handle(self.state, self.timer, now_ms)
        self.timer = liveness_timer(commands)
        return commands

    def test_a_pause_of_the_front_does_not_hedge(self):
        """Guards against hedges of every batch after a pause of the front,
        while the owners' parts are unread in its sockets.
        """
        interval_ms = self.timer.interval_ms
        self.fire(interval_ms)
        commands = self.fire(interval_ms * 10)
        self.assertEqual([], hedged(commands))
        self.assertTrue(self.timer.check_sent)
        commands = self.fire(interval_ms * 11)
        self.assertEqual(1, len(hedged(commands)))

    def test_a_reply_in_the_same_millisecond_counts(self):
        """Guards against hedges of every batch whose owner is this node."""
        interval_ms = self.timer.interval_ms
        self.fire(interval_ms)
        alive = messages.OwnerAlive(self.owner)
        front.handle(self.state, alive, interval_ms)
        commands = self.fire(2 * interval_ms)
        self.assertEqual([], hedged(commands))

    def test_slow_replies_raise_the_owner_timeout(self):
        """Guards against hedges that overload a fleet that is slow."""
        interval_ms = self.timer.interval_ms
        self.fire(interval_ms)
        alive = messages.OwnerAlive(self.owner)
        front.handle(self.state, alive, interval_ms + 80)
        self.assertEqual(160, self.state.owner_timeout_ms(interval_ms + 80))
        later_ms = interval_ms + 80 + 10_000
        self.assertEqual(
            self.state.owner_silence_ms, self.state.owner_timeout_ms(later_ms)
        )

    def test_a_paused_owner_does_not_delay_hedges_for_long(self):
        """Guards against a timeout raised by one reply after minutes."""
        self.fire(self.timer.interval_ms)
        alive = messages.OwnerAlive(self.owner)
        front.handle(self.state, alive, 600_000)
        self.assertLessEqual(self.state.owner_timeout_ms(600_000), 1_000)

    def test_hedges_stop_without_budget_and_resume_with_it(self):
        """Guards against unbounded extra load, and against batches that are
        no longer hedged once the budget has been exhausted.
        """
        budget = self.state.hedge_budget('svc')
        budget.tokens = 0.0
        self.fire(self.timer.interval_ms)
        commands = self.fire(2 * self.timer.interval_ms)
        self.assertEqual([], hedged(commands))
        budget.tokens = 1.0
        commands = self.fire(3 * self.timer.interval_ms)
        self.assertEqual(1, len(hedged(commands)))
