import dataclasses
import unittest

from gypsumbridge_decisions import declaration
from gypsumbridge_decisions import resources

RANK = resources.Rank('border', 0, 0.5, 200)
OURS = resources.Resource(resources.Kind.RANK, 'border', 4, 41, 'ours', RANK)
SETTLED = declaration.Settled


def change(generation, revision, operation_id='theirs', spec=RANK):
    return dataclasses.replace(
        OURS,
        generation=generation,
        revision=revision,
        operation_id=operation_id,
        spec=spec,
    )


class SettleTest(unittest.TestCase):
    def test_a_later_write_does_not_hide_ours(self):
        """Guards against reporting a replaced write as not applied."""
        history = [change(4, 41, 'ours'), change(5, 42), change(0, 43, '')]
        self.assertEqual(
            (SETTLED.APPLIED, 41), declaration.settle_write(history, OURS, 40)
        )

    def test_another_write_of_our_generation_rules_ours_out(self):
        """Guards against an open outcome where the conflict is certain."""
        history = [change(4, 41), change(5, 42)]
        self.assertEqual(
            (SETTLED.NOT_APPLIED, 42),
            declaration.settle_write(history, OURS, 40),
        )

    def test_a_gap_in_the_history_leaves_it_open(self):
        """Guards against calling a write not run that was compacted away."""
        for history in ([], [change(5, 42)], [change(0, 42, '', None)]):
            settled, _ = declaration.settle_write(history, OURS, 40)
            self.assertEqual(SETTLED.OPEN, settled)

    def test_a_create_is_never_ruled_out(self):
        """Guards against "not run" for a create that lands after a delete."""
        first = dataclasses.replace(OURS, generation=1)
        history = [change(1, 41), change(0, 42, '', None)]
        settled, _ = declaration.settle_write(history, first, 0)
        self.assertEqual(SETTLED.OPEN, settled)

    def test_the_first_change_decides_a_delete(self):
        """Guards against mistaking a later deletion for ours."""
        deleted, written = change(0, 41, '', None), change(4, 41)
        later = change(0, 42, '', None)
        for history, expected in (
            ([], SETTLED.OPEN),
            ([deleted], SETTLED.APPLIED),
            ([written, later], SETTLED.NOT_APPLIED),
        ):
            settled, _ = declaration.settle_delete(history, 40)
            self.assertEqual(expected, settled)
