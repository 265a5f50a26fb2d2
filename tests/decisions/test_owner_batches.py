import unittest

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import owner
from gypsumbridge_decisions import resources


class OwnerBatchTest(unittest.TestCase):
    def test_a_refused_first_call_leaves_the_others_in_flight(self):
        """Guards against queued calls that are neither cancelled nor counted
        as in flight, because a refusal emptied and deleted their batch.
        """
        state = owner.make_owner_state('n1')
        rank = resources.Rank('border', 0, 0.5, 200)
        endpoint = resources.Endpoint(
            'e', 'portal', 'set-b', '127.0.0.1', 1, 'fd'
        )
        declared = [
            resources.Resource(kind, spec.name, 1, 1, '', spec)
            for kind, spec in (
                (resources.kind_of(rank), rank),
                (resources.kind_of(endpoint), endpoint),
            )
        ]
        made = catalog.make_catalog(1, declared)
        owner.handle(state, messages.CatalogChanged(made), 0)
        serving = messages.ServingChanged(messages.MissingReason.NONE)
        owner.handle(state, serving, 0)
        calls = (
            messages.ShardCall('s1', 'set-without-endpoints'),
            messages.ShardCall('s2', 'set-b'),
        )
        batch = messages.ShardBatch(
            'n2', 'q', 1, 'portal', 'v', 'border', 'c', 9, 0.0, 1, b'', calls
        )
        owner.handle(state, batch, 0)
        cancelled = owner.handle(state, messages.CancelBatch('n2', 'q', 1), 1)
        self.assertTrue(
            [c for c in cancelled if isinstance(c, messages.EndpointCancel)]
        )
