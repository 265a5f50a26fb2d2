import dataclasses
import unittest

from gypsumbridge_decisions import declaration
from gypsumbridge_decisions import resources

RANK = resources.Rank('border', 0, 0.5, 200)
OURS = resources.Resource(resources.Kind.RANK, 'border', 4, 41, 'ours', RANK)
WriteOutcome = declaration.WriteOutcome


def change(generation, revision, operation_id='theirs', spec=RANK):
    return dataclasses.replace(
        OURS,
        generation=generation,
        revision=revision,
        operation_id=operation_id,
        spec=spec,
    )


class WriteOutcomeTest(unittest.TestCase):
    def test_a_later_write_does_not_hide_ours(self):
        """Guards against reporting an overwritten write as not applied."""
        history = [change(4, 41, 'ours'), change(5, 42), change(0, 43, '')]
        self.assertEqual(
            (WriteOutcome.APPLIED, 41),
            declaration.find_write_outcome(history, OURS, 40),
        )

    def test_another_write_of_our_generation_excludes_ours(self):
        """Guards against an open outcome when the conflict is certain."""
        history = [change(4, 41), change(5, 42)]
        self.assertEqual(
            (WriteOutcome.NOT_APPLIED, 42),
            declaration.find_write_outcome(history, OURS, 40),
        )

    def test_a_gap_in_the_history_leaves_the_outcome_open(self):
        """Guards against reporting a compacted write as not applied."""
        for history in ([], [change(5, 42)], [change(0, 42, '', None)]):
            outcome, _ = declaration.find_write_outcome(history, OURS, 40)
            self.assertEqual(WriteOutcome.OPEN, outcome)

    def test_a_create_is_never_reported_as_not_applied(self):
        """Guards against "not applied" for a create applied after a delete."""
        first = dataclasses.replace(OURS, generation=1)
        history = [change(1, 41), change(0, 42, '', None)]
        outcome, _ = declaration.find_write_outcome(history, first, 0)
        self.assertEqual(WriteOutcome.OPEN, outcome)

    def test_the_first_change_decides_a_delete(self):
        """Guards against taking a later deletion for ours."""
        deleted, written = change(0, 41, '', None), change(4, 41)
        later = change(0, 42, '', None)
        for history, expected in (
            ([], WriteOutcome.OPEN),
            ([deleted], WriteOutcome.APPLIED),
            ([written, later], WriteOutcome.NOT_APPLIED),
        ):
            outcome, _ = declaration.find_delete_outcome(history, 40)
            self.assertEqual(expected, outcome)
