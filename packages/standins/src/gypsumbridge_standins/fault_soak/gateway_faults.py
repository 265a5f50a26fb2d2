"""Faults of gateway processes, injected by signals."""

from collections.abc import Callable
import signal

from twisted.internet import task

from gypsumbridge_standins.fault_soak import disturbance
from gypsumbridge_standins.fault_soak import fault as faults
from gypsumbridge_standins.fault_soak import readiness
from gypsumbridge_standins.fault_soak import soak_state
from gypsumbridge_standins.users_platform import gateway_cluster

POLL_S = 0.05
# The grace time of the gateways' settings.
GRACE_S = 6.0


def choose_node(state: soak_state.SoakState, fault: faults.Fault) -> str:
    """Return the target node of a fault."""
    nodes = sorted(state.cluster.nodes)
    return nodes[int(fault.choice * len(nodes))]


def exclusive(inject: Callable) -> Callable:
    """Return a fault that is skipped while another one is at its node.

    A node that is restarting or paused has no running process to signal.
    """

    async def inject_exclusively(
        state: soak_state.SoakState, fault: faults.Fault
    ) -> None:
        node = choose_node(state, fault)
        if node in state.under_fault:
            disturbance.log_event(
                state, f'{fault.kind} skipped, {node} has another fault'
            )
            return
        state.under_fault.add(node)
        try:
            await inject(state, fault, node)
        finally:
            state.under_fault.discard(node)

    return inject_exclusively


def make_restart(signal_number: signal.Signals, planned: bool) -> Callable:
    """Return a fault that ends a gateway by a signal and restarts it."""
    expected = 0 if planned else -signal_number

    async def inject(
        state: soak_state.SoakState, fault: faults.Fault, node: str
    ) -> None:
        spans_by_key = state.planned if planned else state.unplanned
        end = disturbance.begin_span(state, spans_by_key, node)
        state.cluster.signal(node, signal_number)
        await restart(state, node, expected)
        end()

    return inject


async def pause(
    state: soak_state.SoakState, fault: faults.Fault, node: str
) -> None:
    """Suspend a gateway's process for the length of the fault."""
    end = disturbance.begin_span(state, state.unplanned, node)
    state.cluster.signal(node, signal.SIGSTOP)
    await task.deferLater(state.reactor, fault.for_ms / 1_000, lambda: None)
    state.cluster.signal(node, signal.SIGCONT)
    end()


async def reload(
    state: soak_state.SoakState, fault: faults.Fault, node: str
) -> None:
    """Make a gateway reload its settings."""
    end = disturbance.begin_span(state, state.planned, node)
    state.cluster.signal(node, signal.SIGHUP)
    end()


async def restart(
    state: soak_state.SoakState, node: str, expected: int
) -> None:
    """Wait until a process exits, start it again and wait until ready."""
    started_ms = state.clock.now_ms()
    process = state.cluster.processes[node]
    while process.poll() is None:
        if state.clock.now_ms() - started_ms > GRACE_S * 1_000:
            state.violations.append(f'{node} runs {GRACE_S} s after SIGTERM')
            process.kill()
            process.wait()
        await task.deferLater(state.reactor, POLL_S, lambda: None)
    if process.returncode != expected:
        state.violations.append(f'{node} ended with {process.returncode}')
    gateway_cluster.spawn_gateway(state.cluster, node)
    await readiness.wait_ready(state, node)


kill = make_restart(signal.SIGKILL, planned=False)
stop = make_restart(signal.SIGTERM, planned=True)
