import dataclasses
import unittest

from twisted.internet import defer

from gypsumbridge_decisions import declaration
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_node.operator_api import calls as operator_calls
from gypsumbridge_node.operator_api import lost_reply
from gypsumbridge_wire import store

RANK = resources.Rank('border', 0, 0.5, 200)
OURS = resources.Resource(resources.Kind.RANK, 'border', 2, 0, 'ours', RANK)
KEY = 'config/ranks/border'
STATUSES = messages.StoreStatus


def item(key=KEY, revision=8, **changes):
    value = store.encode_value(dataclasses.replace(OURS, **changes))
    return messages.StoreItem(key, value, revision)


class LostReplyTest(unittest.TestCase):
    def determine_outcome(self, *replies):
        """Return the outcome of a write over revision 5.

        `replies` are the replies of the store, in order.
        """
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
        running = lost_reply.determine_outcome(
            calls, messages.StoreOperation.WRITE, prepared, 5
        )
        results = []
        defer.Deferred.fromCoroutine(running).addBoth(results.append)
        return results[0]

    def test_a_recovered_store_shows_the_outcome(self):
        """Guards against an unknown outcome that one more read resolves."""
        replaced = item(revision=9, generation=3, operation_id='b')
        self.assertEqual(
            8,
            self.determine_outcome(
                (STATUSES.UNAVAILABLE,), (STATUSES.OK, item(), replaced)
            ),
        )

    def test_another_key_with_the_same_prefix_is_ignored(self):
        """Guards against an outcome read from another resource's history.

        A watch on a key also returns the keys that it is a prefix of.
        """
        longer = item(key=KEY + '-2')
        failure = self.determine_outcome((STATUSES.OK, longer))
        self.assertTrue(failure.check(errors.OutcomeUnknownError))

    def test_a_lost_race_is_a_conflict(self):
        """Guards against an unknown outcome where another write came first."""
        failure = self.determine_outcome((STATUSES.OK, item(operation_id='b')))
        self.assertTrue(failure.check(errors.ConflictError))
        self.assertEqual(8, failure.value.revision)

    def test_an_unavailable_store_leaves_the_outcome_unknown(self):
        """Guards against "not run" for a write that may be applied."""
        replies = [(STATUSES.UNAVAILABLE,)] * lost_reply.READ_ATTEMPTS
        failure = self.determine_outcome(*replies)
        self.assertTrue(failure.check(errors.OutcomeUnknownError))

    def test_compacted_history_falls_back_to_the_current_value(self):
        """Guards against an unknown outcome of a write that is current."""
        self.assertEqual(
            8,
            self.determine_outcome(
                (STATUSES.COMPACTED,), (STATUSES.OK, item())
            ),
        )
