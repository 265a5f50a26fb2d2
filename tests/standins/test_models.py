"""Model checks with bounds that are small enough for every run."""

import contextlib
import io
import unittest

from gypsumbridge_standins.models import claim_mutants
from gypsumbridge_standins.models import claim_steps
from gypsumbridge_standins.models import mutation_claim


class MutationClaimModelTest(unittest.TestCase):
    def test_rules_hold_without_faults(self):
        """Guards against a rule violation by interleaving without faults.

        `make check-model` includes the faults.
        """
        for name, world in mutation_claim.make_scenarios(0).items():
            result = mutation_claim.run(world, claim_steps.ClaimSteps())
            self.assertTrue(result['exhaustive'], name)
            for rule, outcome in result['properties'].items():
                self.assertTrue(outcome['holds'], (name, rule))

    def test_every_mutant_is_rejected(self):
        """Guards against a model that accepts a faulty protocol."""
        scenarios = mutation_claim.make_scenarios()
        for name, steps in claim_mutants.make_mutants().items():
            printed = io.StringIO()
            with contextlib.redirect_stdout(printed):
                rejected = mutation_claim.reject(name, steps, scenarios)
            self.assertTrue(rejected, name)
            self.assertIn('start', printed.getvalue())
