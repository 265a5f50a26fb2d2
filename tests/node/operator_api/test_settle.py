import dataclasses
import unittest

from twisted.internet import defer

from gypsumbridge_decisions import declaration
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_node.operator_api import calls as operator_calls
from gypsumbridge_node.operator_api import settle
from gypsumbridge_wire import store

RANK = resources.Rank('border', 0, 0.5, 200)
OURS = resources.Resource(resources.Kind.RANK, 'border', 2, 0, 'ours', RANK)
KEY = 'config/ranks/border'
STATUSES = messages.StoreStatus


def item(key=KEY, revision=8, **changes):
    value = store.encode_value(dataclasses.replace(OURS, **changes))
    return messages.StoreItem(key, value, revision)


class SettleTest(unittest.TestCase):
    def settle(self, *replies):
        """Settle a write over revision 5 with these replies of the store."""
        waiting = list(replies)

        def call(request):
            status, *items = waiting.pop(0) if waiting else (STATUSES.OK,)
            return defer.succeed(
                messages.StoreReply('', status, 9, tuple(items))
            )

        calls = operator_calls.Calls(
            call, None, None, None, lambda _: defer.succeed(None), None
        )
        prepared = declaration.PreparedWrite(
            declaration.WriteAction.WRITE, OURS, 5
        )
        running = settle.settle(
            calls, messages.StoreOperation.WRITE, prepared, 5
        )
        results = []
        defer.Deferred.fromCoroutine(running).addBoth(results.append)
        return results[0]

    def test_a_store_that_comes_back_settles_the_write(self):
        """Guards against an unknown outcome that one more read settles."""
        replaced = item(revision=9, generation=3, operation_id='b')
        self.assertEqual(
            8,
            self.settle(
                (STATUSES.UNAVAILABLE,), (STATUSES.OK, item(), replaced)
            ),
        )

    def test_another_key_with_the_same_start_does_not_count(self):
        """Guards against settling by the history of another resource."""
        longer = item(key=KEY + '-2')
        failure = self.settle((STATUSES.OK, longer))
        self.assertTrue(failure.check(errors.OutcomeUnknownError))

    def test_a_lost_race_is_a_conflict(self):
        """Guards against an unknown outcome where another write won."""
        failure = self.settle((STATUSES.OK, item(operation_id='b')))
        self.assertTrue(failure.check(errors.ConflictError))
        self.assertEqual(8, failure.value.revision)

    def test_a_store_that_stays_out_leaves_it_unknown(self):
        """Guards against "not run" for a write that may be applied."""
        replies = [(STATUSES.UNAVAILABLE,)] * settle.ATTEMPTS
        failure = self.settle(*replies)
        self.assertTrue(failure.check(errors.OutcomeUnknownError))

    def test_compacted_history_falls_back_to_the_value(self):
        """Guards against giving up on a write that is still current."""
        self.assertEqual(
            8, self.settle((STATUSES.COMPACTED,), (STATUSES.OK, item()))
        )
