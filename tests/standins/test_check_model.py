import contextlib
import io
import unittest

from gypsumbridge_standins import check_model
from gypsumbridge_standins.models import bounds
from gypsumbridge_standins.models import configuration_model
from gypsumbridge_standins.models import configuration_rules
from gypsumbridge_standins.models import grant_model
from gypsumbridge_standins.models import holder_mutants


class CheckModelTest(unittest.TestCase):
    def test_the_model_holds_and_every_mutant_is_rejected(self):
        """Guards against a change of the decisions that violates an
        invariant, and against a model that does not detect one.
        """
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            failed = check_model.check_configuration()
        self.assertEqual(0, failed, output.getvalue())
        rejected = output.getvalue().count('rejected by')
        self.assertEqual(len(configuration_rules.make_mutants()), rejected)

    def test_the_quota_models_hold_and_every_mutant_is_rejected(self):
        """Guards against two holders of a partition at once, and against
        tokens that are used after their lifetime.

        `make check-model` also searches with both kinds of faults at once.
        """
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            failed = check_model.check_quotas(few=True)
        self.assertEqual(0, failed, output.getvalue())
        mutants = [
            *holder_mutants.make_mutants(),
            *grant_model.make_mutants(),
        ]
        rejected = output.getvalue().count('rejected by')
        self.assertEqual(len(mutants), rejected)

    def test_a_mutant_that_passes_fails_the_check(self):
        """Guards against a script that accepts a harmless mutant."""
        rules = configuration_rules.Rules()
        with contextlib.redirect_stdout(io.StringIO()):
            model_check = configuration_model.make_check(
                'harmless', rules, bounds.Bounds(restarting=()), 'no_revert'
            )
            self.assertFalse(check_model.run_check(model_check))

    def test_a_search_cut_short_is_no_pass(self):
        """Guards against a pass after a search of only some states."""
        rules = configuration_rules.Rules()
        few_states = bounds.Bounds(max_states=50)
        with contextlib.redirect_stdout(io.StringIO()):
            model_check = configuration_model.make_check(
                'short', rules, few_states, ''
            )
            self.assertFalse(check_model.run_check(model_check))
