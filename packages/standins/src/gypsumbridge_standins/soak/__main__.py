"""Runs a soak from the command line."""

import sys

import defopt

from gypsumbridge_standins.soak import run


def main(seed: int, steps: int) -> None:
    """Run a soak and print its counts.

    :param seed: Seed of the whole run.
    :param steps: Events to run before faults and traffic end.
    """
    state = run.run_soak(seed, steps)
    print(
        f'seed {seed}: {steps} steps, {state.sent} queries,'
        f' {state.answered} answered ({state.partial} partial),'
        f' {state.refused} refused, {state.lost_with_node} lost with their'
        f' node, {state.mutations_answered} mutations answered'
        f' ({state.mutations_recorded} recorded), {state.stops} stops,'
        f' {len(state.accepted)} changes accepted, digest {state.digest:08x}'
    )


if __name__ == '__main__':
    sys.exit(defopt.run(main))
