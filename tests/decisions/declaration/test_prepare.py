import unittest

from gypsumbridge_decisions import declaration
from gypsumbridge_decisions import resources

RANK = resources.Rank('border', 0, 0.5, 200)
OTHER = resources.Rank('border', 0, 0.4, 200)
CURRENT = resources.Resource(resources.Kind.RANK, 'border', 3, 40, 'a', RANK)
ACTIONS = declaration.WriteAction


class PrepareTest(unittest.TestCase):
    def test_a_repeated_write_makes_no_generation(self):
        """Guards against a repeat that counts as a change or a conflict."""
        for expected in (0, 40):
            made = declaration.prepare_write(CURRENT, RANK, expected, 'b')
            self.assertEqual(ACTIONS.UNCHANGED, made.action)
            self.assertEqual(CURRENT, made.resource)

    def test_a_change_counts_the_generation(self):
        """Guards against two specs with one generation."""
        made = declaration.prepare_write(CURRENT, OTHER, 40, 'b')
        self.assertEqual(ACTIONS.WRITE, made.action)
        self.assertEqual(4, made.resource.generation)
        self.assertEqual(40, made.expected_revision)

    def test_an_old_revision_is_a_conflict(self):
        """Guards against overwriting what the operator has not seen."""
        for current, expected in ((CURRENT, 39), (CURRENT, 0), (None, 40)):
            made = declaration.prepare_write(current, OTHER, expected, 'b')
            self.assertEqual(ACTIONS.CONFLICT, made.action)
        made = declaration.prepare_delete(CURRENT, 39)
        self.assertEqual(ACTIONS.CONFLICT, made.action)
