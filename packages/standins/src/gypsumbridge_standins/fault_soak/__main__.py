"""Runs a fault soak from the command line."""

import collections
import pathlib
import sys
from typing import Any

import defopt
import msgspec
from twisted.internet import task

from gypsumbridge_standins.fault_soak import fault_plan
from gypsumbridge_standins.fault_soak import run
from gypsumbridge_standins.fault_soak import soak_plan
from gypsumbridge_standins.fault_soak import soak_state


def main(
    seed: int = 1,
    seconds: int = 20,
    *,
    gateways: int = 4,
    plan: pathlib.Path | None = None,
) -> None:
    """Run gateways under faults and print the violated guarantees.

    :param seed: Seed of the faults and the traffic.
    :param seconds: Time during which faults begin.
    :param gateways: Number of gateways.
    :param plan: File with a plan, in place of one drawn from the seed.
    """
    selected_plan = fault_plan.draw_plan(seed, seconds, gateways)
    if plan is not None:
        selected_plan = msgspec.json.decode(
            plan.read_bytes(), type=soak_plan.SoakPlan
        )

    async def run_once(reactor: Any) -> None:
        state = await run.run_soak(reactor, selected_plan)
        print(format_summary(state))
        if state.violations:
            sys.exit(1)

    task.react(run_once)


def format_summary(state: soak_state.SoakState) -> str:
    """Return the summary of a run; write its event log on a violation."""
    statuses = collections.Counter(o.status for o in state.outcomes)
    lines = [
        f'seed {state.plan.seed}: {len(state.plan.faults)} faults,'
        f' {len(state.outcomes)} requests, by status'
        f' {dict(sorted(statuses.items()))},'
        f' {len(state.violations)} broken'
    ]
    if state.violations:
        path = state.cluster.folder / 'events.log'
        path.write_text('\n'.join(state.events) + '\n')
        lines += state.violations[:20]
        lines.append(f'logs are in {state.cluster.folder}')
    return '\n'.join(lines)


if __name__ == '__main__':
    defopt.run(main)
