"""Faults of gateways' processes, by signals."""

from collections.abc import Callable
import signal

from twisted.internet import task

from gypsumbridge_standins.fault_soak import disturbance
from gypsumbridge_standins.fault_soak import fault as faults
from gypsumbridge_standins.fault_soak import readiness
from gypsumbridge_standins.fault_soak import soak_state
from gypsumbridge_standins.users_platform import gateway_cluster

POLL_S = 0.05
# As in the gateways' settings.
GRACE_S = 6.0


def choose_node(state: soak_state.SoakState, fault: faults.Fault) -> str:
    """Return the node that a fault is for."""
    nodes = sorted(state.cluster.nodes)
    return nodes[int(fault.choice * len(nodes))]


def exclusive(inject: Callable) -> Callable:
    """Return a fault that leaves out a node whose process is not running.

    A node that is being restarted or is paused has no process to signal.
    """

    async def injected(
        state: soak_state.SoakState, fault: faults.Fault
    ) -> None:
        node = choose_node(state, fault)
        if node in state.busy:
            disturbance.note(state, f'{fault.kind} left out, {node} is busy')
            return
        state.busy.add(node)
        try:
            await inject(state, fault, node)
        finally:
            state.busy.discard(node)

    return injected


def make_restart(number: signal.Signals, planned: bool) -> Callable:
    """Return a fault that ends a gateway by a signal and starts it again."""
    expected = 0 if planned else -number

    async def inject(
        state: soak_state.SoakState, fault: faults.Fault, node: str
    ) -> None:
        table = state.planned if planned else state.unplanned
        end = disturbance.begin(state, table, node)
        state.cluster.signal(node, number)
        await restart(state, node, expected)
        end()

    return inject


async def pause(
    state: soak_state.SoakState, fault: faults.Fault, node: str
) -> None:
    """Freeze a gateway for a while."""
    end = disturbance.begin(state, state.unplanned, node)
    state.cluster.signal(node, signal.SIGSTOP)
    await task.deferLater(state.reactor, fault.for_ms / 1_000, lambda: None)
    state.cluster.signal(node, signal.SIGCONT)
    end()


async def reload(
    state: soak_state.SoakState, fault: faults.Fault, node: str
) -> None:
    """Tell a gateway that its settings may have changed."""
    end = disturbance.begin(state, state.planned, node)
    state.cluster.signal(node, signal.SIGHUP)
    end()


async def restart(
    state: soak_state.SoakState, node: str, expected: int
) -> None:
    """Wait for the end of a process, start it again, wait until ready."""
    started_ms = state.clock.now_ms()
    process = state.cluster.processes[node]
    while process.poll() is None:
        if state.clock.now_ms() - started_ms > GRACE_S * 1_000:
            state.breaches.append(f'{node} runs {GRACE_S} s after SIGTERM')
            process.kill()
            process.wait()
        await task.deferLater(state.reactor, POLL_S, lambda: None)
    if process.returncode != expected:
        state.breaches.append(f'{node} ended with {process.returncode}')
    gateway_cluster.spawn_gateway(state.cluster, node)
    await readiness.wait_ready(state, node)


kill = make_restart(signal.SIGKILL, planned=False)
stop = make_restart(signal.SIGTERM, planned=True)
