"""Checks the models of the core protocols (`make check-model`)."""

from collections.abc import Callable
import sys

from gypsumbridge_standins.models import mutation_claim

MODELS: tuple[Callable[[], bool], ...] = (mutation_claim.check,)


def main() -> int:
    """Run every model and return the exit status."""
    results = [check() for check in MODELS]
    print(f'{sum(results)} of {len(results)} models passed')
    return 0 if all(results) else 1


if __name__ == '__main__':
    sys.exit(main())
