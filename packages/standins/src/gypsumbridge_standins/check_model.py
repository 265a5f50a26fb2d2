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
from gypsumbridge_standins.models import mutation_claim

# A third of the benchmark machine; the checks share nothing.
PROCESSES = 3


def main() -> int:
    """Run every model and return the exit status."""
    failed = check_configuration()
    failed += not mutation_claim.check()
    print(f'{failed} checks failed')
    return 1 if failed else 0


def check_configuration(
    bounds: all_bounds.Bounds = all_bounds.Bounds(),
) -> int:
    """Check the configuration's model and its mutants.

    Returns how many checks had another result than expected.
    """
    count = len(configuration_model.checks(bounds))
    # A fresh interpreter each, since the caller may have threads.
    context = multiprocessing.get_context('spawn')
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(PROCESSES, context) as pool:
        numbers = range(count)
        for passed, printed in pool.map(run_one, numbers, [bounds] * count):
            print(printed, end='')
            failed += not passed
    return failed


def run_one(number: int, bounds: all_bounds.Bounds) -> tuple[bool, str]:
    """Run one check of the configuration's model in this process.

    Returns whether its result is expected, and what it printed.
    """
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        passed = run_check(configuration_model.checks(bounds)[number])
    return passed, printed.getvalue()


def run_check(each: check.Check) -> bool:
    """Run one check, print its result and return whether it is expected."""
    started_s = time.monotonic()
    result = minicheck.check_safety(each.make(), each.max_states)
    seconds = time.monotonic() - started_s
    properties = result['properties']
    print(f'{each.name}: {result["reachable_states"]} states, {seconds:.1f} s')
    passed = True
    if not each.violated:
        for name, found in properties.items():
            print(f'  {name}: {describe(found["holds"])}')
            passed = passed and found['holds'] is True
        return passed
    trace = properties[each.violated]['counterexample']
    if not trace:
        print(f'  the mutant was not rejected by {each.violated}')
        return False
    print(f'  rejected by {each.violated}:')
    for step in trace:
        if step['label']:
            print(f'    {step["label"]}')
    return True


def describe(holds: bool | None) -> str:
    """Return the outcome of an invariant in words."""
    if holds is None:
        return 'undetermined'
    return 'holds' if holds else 'violated'


if __name__ == '__main__':
    sys.exit(main())
