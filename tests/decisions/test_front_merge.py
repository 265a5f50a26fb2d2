import unittest

import hypothesis
from hypothesis import strategies

from gypsumbridge_decisions import front
from gypsumbridge_decisions import messages
from tests.decisions import fixtures


def start(state, **fields):
    """Start a query; return its (node, batch) pairs and all commands."""
    commands = front.handle(state, fixtures.query(**fields), 0)
    return batches(commands), commands


def batches(commands):
    return [
        (c.node_id, c.message)
        for c in fixtures.of_type(commands, messages.ToPeer)
        if isinstance(c.message, messages.ShardBatch)
    ]


def results(commands):
    kinds = (messages.Answer, messages.Refusal)
    return fixtures.of_type(commands, kinds)


class MergeTest(unittest.TestCase):
    def test_duplicate_and_late_parts_change_nothing(self):
        """Guards against a part that is counted twice or reaches an ended
        query.
        """
        state = fixtures.serving_front(shards=1)
        [(node, batch)], _ = start(state)
        covered = fixtures.part_batch(
            node, batch.attempt, [fixtures.part('s0')] * 2
        )
        done = results(front.handle(state, covered, 5))
        self.assertEqual(1, len(done))
        self.assertEqual(1, done[0].attempts)
        self.assertEqual([], results(front.handle(state, covered, 6)))

    def test_a_part_of_another_version_is_not_merged(self):
        """Guards against an answer that mixes snapshots."""
        state = fixtures.serving_front(shards=1)
        [(node, batch)], _ = start(state)
        wrong = [fixtures.part('s0', version='v2')]
        done = results(
            front.handle(
                state, fixtures.part_batch(node, batch.attempt, wrong), 5
            )
        )
        self.assertIsInstance(done[0], messages.Refusal)
        self.assertEqual('version_mismatch', done[0].missing[0].reason)

    def test_a_part_of_another_shard_is_not_merged(self):
        """Guards against coverage of a shard that was not requested."""
        state = fixtures.serving_front(shards=1)
        [(node, batch)], _ = start(state)
        wrong = [fixtures.part('s9')]
        found = fixtures.part_batch(node, batch.attempt, wrong)
        self.assertEqual([], results(front.handle(state, found, 5)))
        self.assertEqual({'s0'}, state.running['q'].pending)

    def test_not_run_is_reported_only_if_no_endpoint_got_a_request(self):
        """Guards against callers that repeat a query which has run."""
        for attempts, expected in ((0, 'not_run'), (1, 'outcome_unknown')):
            state = fixtures.serving_front(shards=1)
            [(node, batch)], _ = start(state)
            ended = [fixtures.part('s0', 'failed', 'overload', 'v1', attempts)]
            found = fixtures.part_batch(node, batch.attempt, ended)
            done = results(front.handle(state, found, 5))
            self.assertEqual(expected, done[0].run_state)

    def test_a_restart_happens_once(self):
        """Guards against queries that restart endlessly while an index
        version is replaced.
        """
        state = fixtures.serving_front(shards=1)
        [(node, batch)], _ = start(state)
        front.handle(state, fixtures.catalog(current='v2', revision=2), 1)
        version_gone = [fixtures.part('s0', 'failed', 'version_gone')]
        found = fixtures.part_batch(node, batch.attempt, version_gone)
        [(node, restarted)] = batches(front.handle(state, found, 5))
        self.assertEqual('v2', restarted.version)
        front.handle(state, fixtures.catalog(current='v1', revision=3), 5)
        version_gone = [fixtures.part('s0', 'failed', 'version_gone', 'v2')]
        found = fixtures.part_batch(node, restarted.attempt, version_gone)
        commands = front.handle(state, found, 6)
        self.assertEqual([], batches(commands))
        self.assertEqual(1, len(results(commands)))

    def test_a_query_that_too_few_shards_admit_is_refused_unsent(self):
        """Guards against slots spent on a query that cannot be answered."""
        state = fixtures.serving_front(shards=1)
        level = messages.AdmissionLevel('svc', 's0', 'border', 0.0)
        front.handle(
            state, fixtures.part_batch('n1', 1, (), 'old', (level,)), 0
        )
        sent, commands = start(state)
        self.assertEqual([], sent)
        self.assertEqual('not_run', results(commands)[0].run_state)


class UnresponsiveOwnerTest(unittest.TestCase):
    def test_batches_are_resent_when_their_owner_is_removed(self):
        """Guards against shards that wait for an owner that has failed."""
        state = fixtures.serving_front(shards=6)
        sent, _ = start(state)
        lost, batch = next(s for s in sent if s[0] != 'n0')
        remaining = [n for n in ('n0', 'n1', 'n2') if n != lost]
        commands = front.handle(state, fixtures.members(*remaining), 5)
        resent = {c.shard for _, b in batches(commands) for c in b.calls}
        self.assertEqual({c.shard for c in batch.calls}, resent)

    def test_an_unresponsive_owner_is_checked_once_and_then_skipped(self):
        """Guards against a liveness check for every waiting query, and
        against new queries that wait for an unresponsive owner.
        """
        state = fixtures.serving_front(shards=1)
        timers = []
        for name in ('q', 'r', 's'):
            sent, commands = start(state, name=name)
            timers += fixtures.of_type(commands, messages.Timer)
        owner_id = sent[0][0]
        timers = [
            t for t in timers if isinstance(t.event, front.LivenessTimer)
        ]
        self.assertEqual(1, len(timers))
        fired = front.handle(state, timers[0].event, 25)
        self.assertEqual(1, len(fixtures.sent(fired, messages.OwnerCheck)))
        timer = fixtures.of_type(fired, messages.Timer)[0]
        fired = front.handle(state, timer.event, 50)
        hedged = batches(fired)
        self.assertEqual({'q', 'r', 's'}, {b.query_id for _, b in hedged})
        self.assertNotIn(owner_id, {node for node, _ in hedged})
        timer = fixtures.of_type(fired, messages.Timer)[-1]
        self.assertEqual(owner_id, timer.event.node_id)
        for node, batch in hedged:
            refused = [fixtures.part('s0', 'not_run', 'overload')]
            found = fixtures.part_batch(
                node, batch.attempt, refused, batch.query_id
            )
            front.handle(state, found, 55)
        self.assertEqual({'s0'}, state.running['q'].pending)
        self.assertEqual([], batches(front.handle(state, timer.event, 75)))
        sent, _ = start(state, name='t')
        self.assertNotEqual(owner_id, sent[0][0])
        front.handle(state, fixtures.part_batch(owner_id, 1, ()), 80)
        sent, _ = start(state, name='u')
        self.assertEqual(owner_id, sent[0][0])


class RandomOrderTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3),
                strategies.integers(0, 4),
                strategies.sampled_from(['covered', 'not_run', 'failed']),
                strategies.sampled_from(['v1', 'v2']),
                strategies.sampled_from(['overload', 'node_draining']),
            ),
            max_size=30,
        )
    )
    def test_every_shard_is_covered_or_missing_once(self, steps):
        """Guards against wrong coverage for any order of parts."""
        state = fixtures.serving_front(shards=4, minimum=0.25)
        sent, done = start(state)
        for now_ms, (which, shard, outcome, version, reason) in enumerate(
            steps
        ):
            node, batch = sent[which % len(sent)]
            part_reason = '' if outcome == 'covered' else reason
            part = fixtures.part(f's{shard}', outcome, part_reason, version)
            found = fixtures.part_batch(node, batch.attempt, [part])
            commands = front.handle(state, found, now_ms)
            sent += batches(commands)
            done += results(commands)
        done += front.handle(state, front.QueryTimer('q', False), 995)
        [result] = results(done)
        missing = [m.shard for m in result.missing]
        covered = []
        if isinstance(result, messages.Answer):
            covered = [p.shard for p in result.parts]
            self.assertEqual({'v1'}, {p.version for p in result.parts})
            self.assertEqual(
                ['s0', 's1', 's2', 's3'], sorted(missing + covered)
            )
        self.assertEqual(len(missing), len(set(missing)))
