"""Runs a plan: start, faults under traffic, recovery, stop."""

import time
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from gypsumbridge_decisions import clock as clocks
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.fault_soak import callers
from gypsumbridge_standins.fault_soak import disturbance
from gypsumbridge_standins.fault_soak import drill_checks
from gypsumbridge_standins.fault_soak import evacuation_checks
from gypsumbridge_standins.fault_soak import fault as faults
from gypsumbridge_standins.fault_soak import fault_kinds
from gypsumbridge_standins.fault_soak import processes
from gypsumbridge_standins.fault_soak import readiness
from gypsumbridge_standins.fault_soak import recovery
from gypsumbridge_standins.fault_soak import run_checks
from gypsumbridge_standins.fault_soak import soak_plan
from gypsumbridge_standins.fault_soak import soak_state
from gypsumbridge_standins.fault_soak import statement_checks

CHECK_INTERVAL_S = 5.0


async def run_soak(
    reactor: Any, plan: soak_plan.SoakPlan
) -> soak_state.SoakState:
    """Run a plan and return its state; no fault follows a violation."""
    clock = clocks.make_clock(time.monotonic_ns, time.time_ns)
    state = soak_state.SoakState(plan, clusters.Cluster(), clock, reactor)
    # Stops the processes also when a signal ends the run.
    reactor.addSystemEventTrigger('before', 'shutdown', state.cluster.stop)
    try:
        processes.start(state)
        for node in state.cluster.nodes:
            await readiness.wait_ready(state, node)
        state.versions[1] = clock.now_ms()
        await run_traffic(state)
        await recovery.check_recovery(state)
        add_violations(state)
    finally:
        state.stopping = True
        statuses = state.cluster.stop()
    state.violations += [
        f'{name} ended with {statuses[name]}'
        for name in state.cluster.nodes
        if statuses.get(name)
    ]
    return state


async def run_traffic(state: soak_state.SoakState) -> None:
    """Run the callers and inject the plan's faults."""
    caller_tasks = [
        defer.ensureDeferred(callers.run_caller(state, number))
        for number in range(callers.CALLERS)
    ]
    check_loop = task.LoopingCall(add_violations, state)
    check_loop_done = check_loop.start(CHECK_INTERVAL_S, now=False)
    origin_ms = state.clock.now_ms()
    fault_tasks = []
    for fault in state.plan.faults:
        if state.violations:
            break
        delay_ms = origin_ms + fault.at_ms - state.clock.now_ms()
        if delay_ms > 0:
            await task.deferLater(
                state.reactor, delay_ms / 1_000, lambda: None
            )
        fault_tasks.append(defer.ensureDeferred(inject(state, fault)))
    await defer.gatherResults(fault_tasks, consumeErrors=True)
    state.stopping = True
    await defer.gatherResults(caller_tasks, consumeErrors=True)
    check_loop.stop()
    await check_loop_done


async def inject(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Inject a fault and log its begin and end."""
    disturbance.log_event(state, f'begin {fault}')
    await fault_kinds.INJECT[fault.kind](state, fault)
    disturbance.log_event(state, f'end {fault}')


def add_violations(state: soak_state.SoakState) -> None:
    """Add the violations so far that are not recorded yet."""
    records = processes.read_runs(state)
    runs = [record for record in records if not record.refused]
    refusals = [record for record in records if record.refused]
    current_violations = [
        *run_checks.check_runs(state, runs),
        *drill_checks.check_departed(state, runs),
        *statement_checks.check_leaving(state, runs),
        *statement_checks.check_refusals(state, refusals),
        *evacuation_checks.check_evacuated(state, runs),
    ]
    state.violations += [
        violation
        for violation in current_violations
        if violation not in state.violations
    ]
