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

PROCESS = 'platform-1'
DRAIN_S = deployment.DRAIN_MS / 1_000
# Announced searchers keep serving for a while after the bound.
SERVES_ON_S = 1.0


def choose_searcher(state: soak_state.SoakState, fault: faults.Fault) -> str:
    """Return the searcher that a fault is for."""
    number = int(fault.choice * len(deployment.SEARCHERS))
    return deployment.SEARCHERS[number]


def make_answer_fault(word: str) -> Callable:
    """Return a fault that makes one searcher answer wrongly."""

    async def inject(state: soak_state.SoakState, fault: faults.Fault) -> None:
        searcher_id = choose_searcher(state, fault)
        number = deployment.DOMAINS.index(searcher_id.partition('-')[2])
        end = disturbance.begin(state, state.unplanned, 'searchers')
        await control.order(state, number, faults={searcher_id: word})
        length_s = fault.for_ms / 1_000
        await task.deferLater(state.reactor, length_s, lambda: None)
        await control.order(state, number, faults={searcher_id: ''})
        end()

    return inject


async def drain(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Let a searcher announce its end, go and come back."""
    searcher_id = choose_searcher(state, fault)
    if searcher_id in state.busy:
        return
    state.busy.add(searcher_id)
    gone = {'removed': [searcher_id]} if fault.for_ms % 2 else {}
    states = {} if gone else {searcher_id: 'draining'}
    await control.order(state, 0, states=states, **gone)
    end = disturbance.begin(state, state.draining, searcher_id)
    await task.deferLater(state.reactor, DRAIN_S + SERVES_ON_S, lambda: None)
    end()
    await control.order(state, 0, states={searcher_id: 'ready'})
    state.busy.discard(searcher_id)


async def pause(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Freeze the searchers of one failure domain."""
    await hold(state, fault, signal.SIGSTOP)


async def kill(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Kill the searchers of one failure domain and start them later."""
    await hold(state, fault, signal.SIGKILL)


async def hold(
    state: soak_state.SoakState, fault: faults.Fault, number: int
) -> None:
    """Take the process of one failure domain's searchers away."""
    if PROCESS in state.busy:
        disturbance.note(state, f'{fault.kind} left out, it is busy')
        return
    state.busy.add(PROCESS)
    end = disturbance.begin(state, state.unplanned, 'searchers')
    state.cluster.signal(PROCESS, number)
    await task.deferLater(state.reactor, fault.for_ms / 1_000, lambda: None)
    if number == signal.SIGKILL:
        state.cluster.processes[PROCESS].wait()
        processes.spawn_platform(state.cluster, 1)
    else:
        state.cluster.signal(PROCESS, signal.SIGCONT)
    end()
    state.busy.discard(PROCESS)
