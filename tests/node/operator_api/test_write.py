import json
import types
import unittest

from twisted.internet import defer

from gypsumbridge_decisions import clock
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_node.operator_api import calls as operator_calls
from gypsumbridge_node.operator_api import state as states
from gypsumbridge_node.operator_api import write

RANK = resources.Rank('border', 0, 0.5, 200)
STATUSES = messages.StoreStatus


class WriteTest(unittest.TestCase):
    def put(self, status, accepted):
        """Create a rank; the store answers the write with a status."""

        def store(request):
            found = STATUSES.NOT_FOUND
            if request.operation == messages.StoreOperation.WRITE:
                found = status
            return defer.succeed(messages.StoreReply('', found, 7))

        def ask(revision, wait_ms):
            report = messages.AcceptedReport('', revision, accepted, ('fd-a',))
            return defer.succeed(report)

        def force(revision):
            report = messages.ForceReport('', revision, accepted, 1, 3)
            return defer.succeed(report)

        calls = operator_calls.Calls(store, ask, force, None, None, None)
        runtime = types.SimpleNamespace(clock=clock.ManualTime(0).clock())
        running = write.put(runtime, states.OperatorState(), calls, RANK, 0, 0)
        results = []
        defer.Deferred.fromCoroutine(running).addBoth(results.append)
        return results[0]

    def test_stored_is_not_yet_a_success(self):
        """Guards against success for a change that may not be served."""
        status, body = self.put(STATUSES.OK, accepted=False)
        answer = json.loads(body)
        self.assertEqual((202, 'stored'), (status, answer['state']))
        self.assertEqual(7, answer['revision'])
        status, body = self.put(STATUSES.OK, accepted=True)
        self.assertEqual(201, status)

    def test_what_the_store_refused_was_not_run(self):
        """Guards against leaving the operator in doubt without need."""
        for status, expected in (
            (STATUSES.UNAVAILABLE, errors.StoreUnavailableError),
            (STATUSES.CONFLICT, errors.ConflictError),
            (STATUSES.REJECTED, errors.DeclarationError),
        ):
            self.assertTrue(self.put(status, True).check(expected))
