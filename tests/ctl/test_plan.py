import unittest

from gypsumbridge_ctl import plan
from gypsumbridge_decisions import resources

KIND = resources.Kind


def declared(*specs):
    return {(resources.kind_of(s), s.name): s for s in specs}


def current(name, floor, revision):
    spec = {'name': name, 'urgency': 0, 'floor': floor, 'target_ms': 200}
    return {'kind': 'ranks', 'name': name, 'revision': revision, 'spec': spec}


class PlanTest(unittest.TestCase):
    def test_an_unchanged_resource_is_not_written(self):
        """Guards against an apply that creates new generations each time."""
        rank = resources.Rank('a', 0, 0.5, 200)
        self.assertEqual(
            [], plan.make_plan(declared(rank), [current('a', 0.5, 7)])
        )

    def test_floors_are_lowered_before_others_are_raised(self):
        """Guards against a swap of floors that is refused halfway."""
        specs = declared(
            resources.Rank('a', 0, 0.7, 200), resources.Rank('b', 0, 0.2, 200)
        )
        changes = plan.make_plan(
            specs, [current('a', 0.2, 7), current('b', 0.7, 8)]
        )
        self.assertEqual(['b', 'a'], [c.name for c in changes])
        self.assertEqual([8, 7], [c.revision for c in changes])
        self.assertEqual({'floor': (0.7, 0.2)}, changes[0].fields())

    def test_referenced_resources_are_written_first(self):
        """Guards against a first apply that nodes refuse."""
        version = resources.IndexVersion('v1', {'s0': 'set-00'})
        specs = declared(
            resources.Limit('l', 'verify', 'a'),
            resources.Service('verify', (version,), 'v1'),
            resources.Endpoint('e', 'verify', 'set-00', '::1', 9, 'fd-a'),
            resources.Rank('a', 0, 0.7, 200),
        )
        kinds = [c.kind for c in plan.make_plan(specs, [])]
        self.assertEqual(
            [KIND.RANK, KIND.ENDPOINT, KIND.SERVICE, KIND.LIMIT], kinds
        )
