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
        """Create a rank; the store replies to the write with `status`."""

        def call_store(request):
            reply_status = STATUSES.NOT_FOUND
            if request.operation == messages.StoreOperation.WRITE:
                reply_status = status
            return defer.succeed(messages.StoreReply('', reply_status, 7))

        def query_accepted(revision, wait_ms):
            report = messages.AcceptedReport('', revision, accepted, ('fd-a',))
            return defer.succeed(report)

        def query_in_force(revision):
            report = messages.ForceReport('', revision, accepted, 1, 3)
            return defer.succeed(report)

        calls = operator_calls.Calls(
            call_store, query_accepted, query_in_force, None, None, None
        )
        runtime = types.SimpleNamespace(clock=clock.ManualTime(0).clock())
        running = write.put(runtime, states.OperatorState(), calls, RANK, 0, 0)
        results = []
        defer.Deferred.fromCoroutine(running).addBoth(results.append)
        return results[0]

    def test_a_write_that_is_only_stored_is_not_a_success(self):
        """Guards against success for a change that may not be served."""
        status, body = self.put(STATUSES.OK, accepted=False)
        answer = json.loads(body)
        self.assertEqual((202, 'stored'), (status, answer['state']))
        self.assertEqual(7, answer['revision'])
        status, body = self.put(STATUSES.OK, accepted=True)
        self.assertEqual(201, status)

    def test_a_write_that_the_store_refused_is_reported_as_not_run(self):
        """Guards against an unknown outcome for a write that did not run."""
        for status, expected in (
            (STATUSES.UNAVAILABLE, errors.StoreUnavailableError),
            (STATUSES.CONFLICT, errors.ConflictError),
            (STATUSES.REJECTED, errors.DeclarationError),
        ):
            self.assertTrue(self.put(status, True).check(expected))
