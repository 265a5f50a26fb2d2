import random
import unittest

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import resources


def endpoint(name, replica_set, leaving=False):
    return resources.Endpoint(
        name, 'svc', replica_set, '127.0.0.1', 80, 'fd-a', leaving=leaving
    )


def resource(spec):
    return resources.Resource(
        resources.kind_of(spec), spec.name, 1, 1, '', spec
    )


class CatalogTest(unittest.TestCase):
    def test_update_equals_rebuild(self):
        """Guards against incremental updates that diverge from the store."""
        draw = random.Random(1)
        declared = {}
        updated = catalog.empty_catalog()
        for revision in range(1, 300):
            name = f'e{draw.randrange(20)}'
            before = declared.pop(name, None)
            after = None
            if draw.random() < 0.7:
                after = endpoint(name, f'set-{draw.randrange(4)}')
                declared[name] = after
            updated = catalog.update_catalog(
                updated, revision, [(before, after)]
            )
            rebuilt = catalog.make_catalog(
                revision, map(resource, declared.values())
            )
            self.assertEqual(rebuilt, updated)

    def test_ranks_are_sorted_by_urgency(self):
        """Guards against dispatch that serves the wrong rank first."""
        ranks = [resources.Rank(n, u, 0, 1) for n, u in (('b', 1), ('a', 0))]
        found = catalog.make_catalog(1, map(resource, ranks))
        self.assertEqual(['a', 'b'], [r.name for r in found.ranks_by_urgency])
