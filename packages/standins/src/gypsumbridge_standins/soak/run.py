"""Runs a soak from a seed."""

from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_standins.replay import full_fleet
from gypsumbridge_standins.soak import catalogs
from gypsumbridge_standins.soak import checks
from gypsumbridge_standins.soak import fault_schedule
from gypsumbridge_standins.soak import leaving_checks
from gypsumbridge_standins.soak import mutation_checks
from gypsumbridge_standins.soak import mutation_traffic
from gypsumbridge_standins.soak import node_faults
from gypsumbridge_standins.soak import operators
from gypsumbridge_standins.soak import quiet_checks
from gypsumbridge_standins.soak import soak_state
from gypsumbridge_standins.soak import traffic

NODES = 6
DOMAINS = ('fd-a', 'fd-b', 'fd-c')
# The nodes find each other and the configuration before traffic starts.
START_MS = 5_000
# Enough for every fault to end, every deadline to pass, a mutation without
# a result to be dropped after 60 s and a stop to end within its 90 s.
QUIET_MS = 150_000
STEPS_BETWEEN_SLOT_CHECKS = 50


def run_soak(seed: int, steps: int) -> soak_state.SoakState:
    """Run a number of steps, let all work end, and check what is left.

    Raises InvariantError where something that must hold does not.
    """
    state = make_soak(seed)
    run(state, steps)
    return state


def run(state: soak_state.SoakState, steps: int) -> None:
    """Run a soak that was made before."""
    traffic.send_queries(state)
    mutation_traffic.send_mutations(state)
    operators.change_limits(state)
    fault_schedule.inject_faults(state)
    for number in range(steps):
        state.replay.scheduler.step()
        if number % STEPS_BETWEEN_SLOT_CHECKS == 0:
            checks.check_slots(state)
    finish(state)


def make_soak(seed: int) -> soak_state.SoakState:
    """Return a soak whose fleet serves the first index version."""
    deployment = catalogs.make_deployment()
    replay = full_fleet.make_full_fleet(deployment, NODES, DOMAINS, seed)
    replay.scheduler.run_until(START_MS)
    state = soak_state.SoakState(replay, seed)

    def accept(node_id: str, report: messages.AcceptedReport) -> None:
        if report.accepted:
            state.accepted.append((state.now_ms(), report.revision))

    def count_open_requests(node_id: str) -> int:
        return sum(n == node_id for _, n, _ in state.open.values())

    def handled(node_id: str, message: Any) -> None:
        checks.check_taken(state, node_id, message)

    replay.on_answer = lambda n, result: checks.check_result(state, n, result)
    replay.on_decision = lambda n, made: checks.check_decision(state, n, made)
    replay.on_executed = lambda n, sent: mutation_checks.check_execution(
        state, n, sent
    )
    replay.on_publish = lambda n, r: checks.check_publish(state, n, r)
    replay.on_drained = lambda n, e: leaving_checks.hear_reply(state, n, e)
    replay.on_hosts = lambda hosts: leaving_checks.hear_hosts(state, hosts)
    replay.on_exit = lambda n, e: node_faults.finish_stop(state, n, e)
    replay.on_accepted = accept
    replay.on_handled = handled
    replay.count_open_requests = count_open_requests
    return state


def finish(state: soak_state.SoakState) -> None:
    """Stop traffic and faults, wait, and check that nothing is left."""
    state.sending = False
    state.replay.scheduler.run_until(state.now_ms() + QUIET_MS)
    quiet_checks.check_quiet(state)
