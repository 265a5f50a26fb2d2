import unittest

from gypsumbridge_decisions import configuration
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import owner
from gypsumbridge_decisions.configuration import publish
from gypsumbridge_decisions.configuration import receiving
from tests.decisions import fixtures


class DispatchCheckTest(unittest.TestCase):
    def setUp(self):
        self.state = fixtures.warm_owner()
        owner.handle(self.state, fixtures.batch('q'), 0)
        self.call = next(iter(self.state.calls.values()))
        self.set_state = self.state.sets[self.call.replica_set]
        self.replica = next(
            replica
            for replica in self.set_state.replicas.values()
            if not replica.running
        )

    def start(self):
        owner.start_request(
            self.state, self.set_state, self.call, self.replica, 0
        )

    def test_a_completed_call_is_not_sent(self):
        """Guards against work for a query that has been answered."""
        self.call.done = True
        self.assertRaises(errors.InvariantError, self.start)

    def test_a_leaving_endpoint_gets_no_request(self):
        """Guards against a dispatch path that ignores leaving endpoints."""
        self.replica.leaving_sources.add('operator')
        self.assertRaises(errors.InvariantError, self.start)

    def test_a_replica_without_free_slots_gets_no_request(self):
        """Guards against more requests than the endpoint has slots."""
        slots = range(100, 100 + self.replica.endpoint.slots)
        self.replica.running = dict.fromkeys(slots, 0)
        self.assertRaises(errors.InvariantError, self.start)

    def test_a_running_mutation_is_not_sent_again(self):
        """Guards against a hedge of a mutation."""
        self.call.idempotency_key = 'key'
        self.assertRaises(errors.InvariantError, self.start)


class RevisionCheckTest(unittest.TestCase):
    def test_the_revision_never_decreases(self):
        """Guards against a code path that skips the revision check."""
        state = configuration.make_configuration_state('n', 'a', ('a',), 0)
        items = (messages.StoreItem('config/ranks/x', 'v', 5),)
        receiving.put_in_force(state, publish.Publish(5, items, False))
        for revision in (4, 5):
            older = publish.Publish(revision, (), False)
            with self.assertRaises(errors.InvariantError):
                receiving.put_in_force(state, older)
