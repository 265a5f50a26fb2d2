"""Checks the models of the core protocols (`make check-model`).

Prints for each model the number of states and the result, and ends with a
non-zero status when a model fails or a mutant passes.
"""

import concurrent.futures
import contextlib
import io
import multiprocessing
import sys
import time

import minicheck

from gypsumbridge_standins.models import bounds as all_bounds
from gypsumbridge_standins.models import check
from gypsumbridge_standins.models import configuration_model
from gypsumbridge_standins.models import grant_model
from gypsumbridge_standins.models import holder_model
from gypsumbridge_standins.models import mutation_claim

# A third of the benchmark machine's cores; the checks are independent.
PROCESSES = 3


def main() -> int:
    """Run every model and return the exit status."""
    failed = check_configuration()
    failed += not mutation_claim.check()
    failed += check_quotas()
    print(f'{failed} checks failed')
    return 1 if failed else 0


def check_configuration(
    bounds: all_bounds.Bounds = all_bounds.Bounds(),
) -> int:
    """Check the configuration's model and its mutants.

    Returns the number of checks with an unexpected result.
    """
    count = len(configuration_model.make_checks(bounds))
    # Each process is spawned, since forking a caller with threads is unsafe.
    context = multiprocessing.get_context('spawn')
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(PROCESSES, context) as pool:
        numbers = range(count)
        for passed, printed in pool.map(
            run_numbered_check, numbers, [bounds] * count
        ):
            print(printed, end='')
            failed += not passed
    return failed


def check_quotas(few: bool = False) -> int:
    """Check the models of the quotas and their mutants, or a few of them.

    Returns the number of checks with an unexpected result.
    """
    checks = [*holder_model.make_checks(few), *grant_model.make_checks()]
    return sum(not run_check(case) for case in checks)


def run_numbered_check(
    number: int, bounds: all_bounds.Bounds
) -> tuple[bool, str]:
    """Run one check of the configuration's model in this process.

    Returns whether its result is as expected, and its output.
    """
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        passed = run_check(configuration_model.make_checks(bounds)[number])
    return passed, printed.getvalue()


def run_check(case: check.Check) -> bool:
    """Run one check, print its result and return whether it is as expected."""
    started_s = time.monotonic()
    result = minicheck.check_safety(case.make(), case.max_states)
    seconds = time.monotonic() - started_s
    properties = result['properties']
    print(f'{case.name}: {result["reachable_states"]} states, {seconds:.1f} s')
    passed = True
    if not case.violated:
        for name, outcome in properties.items():
            print(f'  {name}: {format_result(outcome["holds"])}')
            passed = passed and outcome['holds'] is True
        return passed
    trace = properties[case.violated]['counterexample']
    if not trace:
        print(f'  the mutant was not rejected by {case.violated}')
        return False
    print(f'  rejected by {case.violated}:')
    for step in trace:
        if step['label']:
            print(f'    {step["label"]}')
    return True


def format_result(holds: bool | None) -> str:
    """Return the result of an invariant as text."""
    if holds is None:
        return 'undetermined'
    return 'holds' if holds else 'violated'


if __name__ == '__main__':
    sys.exit(main())
