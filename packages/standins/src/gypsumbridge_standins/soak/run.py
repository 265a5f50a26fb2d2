"""Runs a soak from a seed."""

from gypsumbridge_standins.replay import fleet
from gypsumbridge_standins.soak import catalogs
from gypsumbridge_standins.soak import checks
from gypsumbridge_standins.soak import fault_schedule
from gypsumbridge_standins.soak import soak_state
from gypsumbridge_standins.soak import traffic

NODES = 5
DOMAINS = ('fd-a', 'fd-b', 'fd-c')
# Enough for every fault to end and every deadline to pass.
QUIET_MS = 60_000
STEPS_BETWEEN_SLOT_CHECKS = 50


def run_soak(seed: int, steps: int) -> soak_state.SoakState:
    """Run a number of steps, let all work end, and check what is left.

    Raises InvariantError where something that must hold does not.
    """
    state = make_soak(seed)
    traffic.send_queries(state)
    fault_schedule.inject_faults(state)
    for number in range(steps):
        state.replay.scheduler.step()
        if number % STEPS_BETWEEN_SLOT_CHECKS == 0:
            checks.check_slots(state)
    finish(state)
    return state


def make_soak(seed: int) -> soak_state.SoakState:
    """Return a soak whose fleet serves the first index version."""
    replay = fleet.make_fleet(catalogs.make_deployment(), NODES, DOMAINS, seed)
    state = soak_state.SoakState(replay, seed)
    changed = catalogs.current(state)
    for node_id in replay.nodes:
        fleet.start_node(replay, node_id, changed)
    replay.answered = lambda n, result: checks.check_result(state, n, result)
    replay.on_decision = lambda n, made: checks.check_decision(state, n, made)
    return state


def finish(state: soak_state.SoakState) -> None:
    """Stop traffic and faults, wait, and check that nothing is left."""
    scheduler = state.replay.scheduler
    end_ms = scheduler.now_ms() + QUIET_MS
    state.sending = False
    scheduler.run_until(end_ms)
    checks.check_quiet(state)
