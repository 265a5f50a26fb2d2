"""Runs a soak from a seed."""

from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_standins.replay import full_fleet
from gypsumbridge_standins.soak import catalogs
from gypsumbridge_standins.soak import checks
from gypsumbridge_standins.soak import fault_schedule
from gypsumbridge_standins.soak import idle_checks
from gypsumbridge_standins.soak import leaving_checks
from gypsumbridge_standins.soak import mutation_checks
from gypsumbridge_standins.soak import mutation_traffic
from gypsumbridge_standins.soak import node_faults
from gypsumbridge_standins.soak import operators
from gypsumbridge_standins.soak import soak_state
from gypsumbridge_standins.soak import traffic

NODES = 6
DOMAINS = ('fd-a', 'fd-b', 'fd-c')
# Time for the nodes to form the fleet and get the configuration.
START_MS = 5_000
# Enough for every fault to end, every deadline to pass, a mutation without
# a result to be dropped after 60 s and a stop to end within its 90 s.
SETTLE_MS = 150_000
STEPS_BETWEEN_SLOT_CHECKS = 50


def run_soak(seed: int, steps: int) -> soak_state.SoakState:
    """Run a number of steps, let all requests end, and check the nodes.

    Raises InvariantError on a violation.
    """
    state = make_soak(seed)
    run(state, steps)
    return state


def run(state: soak_state.SoakState, steps: int) -> None:
    """Run a soak that `make_soak` returned."""
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
    """Return a soak whose fleet is ready, at the first index version."""
    deployment = catalogs.make_deployment()
    replay = full_fleet.make_full_fleet(deployment, NODES, DOMAINS, seed)
    replay.scheduler.run_until(START_MS)
    state = soak_state.SoakState(replay, seed)

    def record_accepted(node_id: str, report: messages.AcceptedReport) -> None:
        if report.accepted:
            state.accepted.append((state.now_ms(), report.revision))

    def count_open_requests(node_id: str) -> int:
        return sum(n == node_id for _, n, _ in state.open_requests.values())

    def check_handled(node_id: str, message: Any) -> None:
        checks.check_accepted_work(state, node_id, message)

    replay.on_answer = lambda n, result: checks.check_result(state, n, result)
    replay.on_decision = lambda n, decision: checks.check_decision(
        state, n, decision
    )
    replay.on_executed = lambda n, sent: mutation_checks.check_execution(
        state, n, sent
    )
    replay.on_publish = lambda n, r: checks.check_publish(state, n, r)
    replay.on_drained = lambda n, e: leaving_checks.record_draining_reply(
        state, n, e
    )
    replay.on_hosts = lambda hosts: leaving_checks.record_host_list(
        state, hosts
    )
    replay.on_exit = lambda n, e: node_faults.handle_exit(state, n, e)
    replay.on_accepted = record_accepted
    replay.on_handled = check_handled
    replay.count_open_requests = count_open_requests
    return state


def finish(state: soak_state.SoakState) -> None:
    """Stop traffic and faults, wait, and check that the fleet is idle."""
    state.sending = False
    state.replay.scheduler.run_until(state.now_ms() + SETTLE_MS)
    idle_checks.check_idle(state)
