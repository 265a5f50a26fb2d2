import unittest

from gypsumbridge_decisions import messages
from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.replay import delivery
from gypsumbridge_standins.replay import fleet

DOMAINS = ('fd-a', 'fd-b', 'fd-c')


def run(seed, queries=50):
    ports = range(20_000, 21_000)
    deployment = build.build(build.SMALL_GROUPS, ports, 20.0)
    replay = fleet.make_fleet(deployment, 3, DOMAINS, seed)
    results = []
    decisions = []
    replay.on_answer = lambda node_id, result: results.append(result)
    replay.on_decision = lambda node_id, decision: decisions.append(decision)
    for number in range(queries):
        query = messages.Query(
            f'q{number}',
            f'r{number}',
            'verify-portal',
            'border',
            'c',
            1_000,
            b'{}',
        )
        node_id = f'node-{number % 3 + 1}'
        replay.scheduler.after(
            number * 10,
            lambda n=node_id, q=query: delivery.deliver(replay, n, q),
        )
    replay.scheduler.run_until(5_000)
    return results, decisions


class ReplayTest(unittest.TestCase):
    def test_every_query_is_answered_once_with_full_coverage(self):
        """Guards against parts that reach the wrong query or are lost."""
        results, _ = run(1)
        self.assertEqual(50, len({r.query_id for r in results}))
        self.assertEqual(50, len(results))
        for result in results:
            self.assertIsInstance(result, messages.Answer)
            self.assertEqual(1.0, result.coverage)

    def test_same_seed_gives_the_same_run(self):
        """Guards against state that makes a failure irreproducible."""
        self.assertEqual(run(7), run(7))
        self.assertNotEqual(run(7)[1], run(8)[1])
