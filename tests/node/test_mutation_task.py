import types
import unittest

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import mutation
from gypsumbridge_node.tasks import mutation as mutation_task
from gypsumbridge_wire import store

CLAIM = messages.Claim(messages.ClaimPhase.DONE, 'node', 'n', 'f', 5, 4)


class MutationTaskTest(unittest.TestCase):
    def decode(self, token):
        """Decode a reply with one claim among values that are not claims."""
        call = messages.ClaimCall(
            't', messages.StoreOperation.WRITE, 'k', CLAIM, 3
        )
        value = store.encode_claim_call(call).value
        items = [
            messages.StoreItem(f'claims/1/{key}', text, 4)
            for key, text in (('a', '{}'), ('k', value), ('z', None))
        ]
        self.errors = []
        logger = types.SimpleNamespace(
            error=lambda message, extra: self.errors.append(extra['error'])
        )
        return mutation_task.decode(
            types.SimpleNamespace(logger=logger),
            messages.StoreReply(
                token, messages.StoreStatus.OK, 4, tuple(items)
            ),
        )

    def test_an_invalid_value_does_not_end_the_sweep_of_its_bucket(self):
        """Guards against expired claims that are never removed because
        another value in their bucket does not decode.
        """
        decoded = self.decode(mutation.LIST_TOKEN)
        self.assertEqual((messages.ClaimItem('k', CLAIM, 4),), decoded.items)
        self.assertIn('claims/1/a', self.errors[0])

    def test_an_invalid_value_of_a_key_is_rejected(self):
        """Guards against an invalid claim that is treated as absent."""
        decoded = self.decode('other')
        self.assertEqual(messages.StoreStatus.REJECTED, decoded.status)
        self.assertEqual(1, len(self.errors))
