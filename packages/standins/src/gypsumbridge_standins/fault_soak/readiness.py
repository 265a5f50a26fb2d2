"""Waits until gateways are ready."""

from twisted.internet import task
from twisted.web import client

from gypsumbridge_platform import platform_adapter
from gypsumbridge_standins.fault_soak import http_exchange
from gypsumbridge_standins.fault_soak import soak_state

POLL_S = 0.1
REQUEST_TIMEOUT_S = 1.0
TIMEOUT_S = 60.0


async def wait_ready(state: soak_state.SoakState, node: str) -> None:
    """Wait until a gateway is ready; a timeout is a violation.

    The timeout is long, since faults of the gateway's link to the store
    delay its start.
    """
    limit_ms = state.clock.now_ms() + TIMEOUT_S * 1_000
    while state.clock.now_ms() < limit_ms:
        if await is_ready(state, node):
            return
        await task.deferLater(state.reactor, POLL_S, lambda: None)
    state.violations.append(f'{node} is not ready after {TIMEOUT_S} s')


async def is_ready(state: soak_state.SoakState, node: str) -> bool:
    """Return whether a gateway's readiness check succeeds."""
    agent = client.Agent(state.reactor, connectTimeout=REQUEST_TIMEOUT_S)
    address = state.ready_addresses[node]
    uri = f'http://{address}{platform_adapter.READY_PATH}'
    try:
        status, _, _ = await http_exchange.exchange(
            state.reactor, agent, REQUEST_TIMEOUT_S, b'GET', uri
        )
    except http_exchange.FAILURES:
        return False
    return status == 200
