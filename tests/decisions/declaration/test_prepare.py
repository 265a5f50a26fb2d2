import unittest

from gypsumbridge_decisions import declaration
from gypsumbridge_decisions import resources

RANK = resources.Rank('border', 0, 0.5, 200)
OTHER = resources.Rank('border', 0, 0.4, 200)
CURRENT = resources.Resource(resources.Kind.RANK, 'border', 3, 40, 'a', RANK)
WriteAction = declaration.WriteAction


class PrepareTest(unittest.TestCase):
    def test_a_repeated_write_creates_no_generation(self):
        """Guards against a repeat that counts as a change or a conflict."""
        for expected in (0, 40):
            prepared = declaration.prepare_write(CURRENT, RANK, expected, 'b')
            self.assertEqual(WriteAction.UNCHANGED, prepared.action)
            self.assertEqual(CURRENT, prepared.resource)

    def test_a_change_increments_the_generation(self):
        """Guards against two specs of the same generation."""
        prepared = declaration.prepare_write(CURRENT, OTHER, 40, 'b')
        self.assertEqual(WriteAction.WRITE, prepared.action)
        self.assertEqual(4, prepared.resource.generation)
        self.assertEqual(40, prepared.expected_revision)

    def test_an_old_revision_is_a_conflict(self):
        """Guards against overwriting a change the operator has not seen."""
        for current, expected in ((CURRENT, 39), (CURRENT, 0), (None, 40)):
            prepared = declaration.prepare_write(current, OTHER, expected, 'b')
            self.assertEqual(WriteAction.CONFLICT, prepared.action)
        prepared = declaration.prepare_delete(CURRENT, 39)
        self.assertEqual(WriteAction.CONFLICT, prepared.action)
