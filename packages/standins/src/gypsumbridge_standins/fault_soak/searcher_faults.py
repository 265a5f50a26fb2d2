"""Faults of searchers."""

from collections.abc import Callable
import signal

from twisted.internet import task

from gypsumbridge_standins.fault_soak import control
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import disturbance
from gypsumbridge_standins.fault_soak import fault as faults
from gypsumbridge_standins.fault_soak import processes
from gypsumbridge_standins.fault_soak import soak_state

PLATFORM_PROCESS = 'platform-1'
DRAIN_S = deployment.DRAIN_MS / 1_000
# A draining searcher serves this long beyond the drain bound, so that late
# requests reach it and are found.
SERVE_AFTER_BOUND_S = 1.0


def choose_searcher(state: soak_state.SoakState, fault: faults.Fault) -> str:
    """Return the target searcher of a fault."""
    number = int(fault.choice * len(deployment.SEARCHERS))
    return deployment.SEARCHERS[number]


def make_response_fault(fault_name: str) -> Callable:
    """Return a fault in the responses of one searcher."""

    async def inject(state: soak_state.SoakState, fault: faults.Fault) -> None:
        searcher_id = choose_searcher(state, fault)
        number = deployment.DOMAINS.index(searcher_id.partition('-')[2])
        end = disturbance.begin_span(state, state.unplanned, 'searchers')
        await control.send_command(
            state, number, faults={searcher_id: fault_name}
        )
        length_s = fault.for_ms / 1_000
        await task.deferLater(state.reactor, length_s, lambda: None)
        await control.send_command(state, number, faults={searcher_id: ''})
        end()

    return inject


async def drain(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Drain a searcher or remove its entry, then make it ready again."""
    searcher_id = choose_searcher(state, fault)
    if searcher_id in state.under_fault:
        return
    state.under_fault.add(searcher_id)
    await depart(state, fault, searcher_id)
    end = disturbance.begin_span(state, state.draining, searcher_id)
    await task.deferLater(
        state.reactor, DRAIN_S + SERVE_AFTER_BOUND_S, lambda: None
    )
    end()
    await control.send_command(state, 0, states={searcher_id: 'ready'})
    state.under_fault.discard(searcher_id)


async def depart(
    state: soak_state.SoakState, fault: faults.Fault, searcher_id: str
) -> None:
    """Write that a searcher drains, or remove its entry."""
    removed = {'removed': [searcher_id]} if fault.for_ms % 2 else {}
    states = {} if removed else {searcher_id: 'draining'}
    await control.send_command(state, 0, states=states, **removed)


async def leave(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Let a searcher say in its answers that it leaves, and restart it.

    Its entry says that it is ready until the end.
    """
    searcher_id = choose_searcher(state, fault)
    if searcher_id in state.under_fault:
        return
    state.under_fault.add(searcher_id)
    number = deployment.DOMAINS.index(searcher_id.partition('-')[2])
    end = disturbance.begin_span(state, state.leaving, searcher_id)
    await control.send_command(state, number, faults={searcher_id: 'leaving'})
    length_s = DRAIN_S + SERVE_AFTER_BOUND_S + fault.for_ms / 1_000
    await task.deferLater(state.reactor, length_s, lambda: None)
    end()
    await control.send_command(state, number, faults={searcher_id: ''})
    await control.send_command(
        state,
        0,
        states={searcher_id: 'ready'},
        born={searcher_id: state.clock.wall_ms()},
    )
    state.under_fault.discard(searcher_id)


async def pause(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Suspend the searchers of one failure domain."""
    await interrupt(state, fault, signal.SIGSTOP)


async def kill(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Kill the searchers of one failure domain and restart them later."""
    await interrupt(state, fault, signal.SIGKILL)


async def interrupt(
    state: soak_state.SoakState, fault: faults.Fault, signal_number: int
) -> None:
    """Suspend or kill the process of one failure domain's searchers."""
    if PLATFORM_PROCESS in state.under_fault:
        disturbance.log_event(
            state, f'{fault.kind} skipped, another is active'
        )
        return
    state.under_fault.add(PLATFORM_PROCESS)
    end = disturbance.begin_span(state, state.unplanned, 'searchers')
    state.cluster.signal(PLATFORM_PROCESS, signal_number)
    await task.deferLater(state.reactor, fault.for_ms / 1_000, lambda: None)
    if signal_number == signal.SIGKILL:
        state.cluster.processes[PLATFORM_PROCESS].wait()
        processes.spawn_platform(state.cluster, 1)
    else:
        state.cluster.signal(PLATFORM_PROCESS, signal.SIGCONT)
    end()
    state.under_fault.discard(PLATFORM_PROCESS)
