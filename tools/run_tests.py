"""Runs the test suite and prints the counts in its last line.

Usage: python tools/run_tests.py [PATTERN], with a file pattern such as
`test_owner*` in place of the whole suite. Tests listed in KNOWN-RED.txt (one
`test: <id>` entry each) may fail; they are printed. A listed test that passes
fails the run, so that the list stays exact.
"""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent


def read_known_red(path: pathlib.Path) -> set[str]:
    """Return the ids of the tests that may fail."""
    known_red = set()
    for line in path.read_text(encoding='utf-8').splitlines():
        if line.startswith('test: '):
            known_red.add(line.removeprefix('test: ').strip())
    return known_red


def main() -> int:
    """Run the suite and return the exit status."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else 'test_*.py'
    whole_suite = pattern == 'test_*.py'
    sys.path.insert(0, str(ROOT))
    suite = unittest.TestLoader().discover(
        str(ROOT / 'tests'), pattern=pattern, top_level_dir=str(ROOT)
    )
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    failed = {test.id() for test, _ in result.failures + result.errors}
    # The id of a failing sub-test has its parameters appended.
    failed = {name.split(' ')[0] for name in failed}
    failed |= {test.id() for test in result.unexpectedSuccesses}
    known_red = read_known_red(ROOT / 'KNOWN-RED.txt')
    for name in sorted(known_red & failed):
        print(f'known red: {name}')
    stale = sorted(known_red - failed) if whole_suite else []
    for name in stale:
        print(f'listed in KNOWN-RED.txt but passing or missing: {name}')
    for name in sorted(failed - known_red):
        print(f'failed: {name}')
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    unexpected = len(failed - known_red) + len(stale)
    tail = f', {skipped} skipped' if skipped else ''
    print(f'{passed} passed, {unexpected} failed{tail}')
    return 1 if unexpected or not result.testsRun else 0


if __name__ == '__main__':
    sys.exit(main())
