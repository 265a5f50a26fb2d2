import dataclasses
import unittest

from gypsumbridge_decisions import clock
from gypsumbridge_decisions import relaying
from gypsumbridge_node.gateway.tasks import relay as relay_task


class RelayAnswersTest(unittest.TestCase):
    def test_a_relay_states_the_age_at_encoding(self):
        """Guards against a proof that is too young by a suspension.

        The relay was suspended between the decision and the encoding.
        """
        time = clock.ManualTime(1_000)
        updates = relaying.RelayedUpdates(5, (), False, True, 0)
        command = relaying.AnswerPoll(1, updates, time.clock().boot_ms())
        time.suspend(30_001)
        stated = relay_task.state_proof_age(command, time.clock().boot_ms())
        self.assertEqual(30_010, stated.proof_age_ms)
        without = dataclasses.replace(stated, proof_age_ms=None)
        self.assertEqual(updates, without)
