"""Orders to the platform's stand-ins."""

import json
from typing import Any

from twisted.web import client

from gypsumbridge_standins.fault_soak import http_exchange
from gypsumbridge_standins.fault_soak import soak_state

TIMEOUT_S = 10.0


async def order(
    state: soak_state.SoakState, number: int, **content: Any
) -> None:
    """Send an order to the stand-in of that number.

    The second one may be killed or paused, so no reply is no failure there.
    """
    agent = client.Agent(state.reactor, connectTimeout=TIMEOUT_S)
    try:
        await http_exchange.exchange(
            state.reactor,
            agent,
            TIMEOUT_S,
            b'POST',
            f'http://{state.cluster.controls[number]}/',
            body=json.dumps(content).encode(),
        )
    except http_exchange.FAILURES as exc:
        if number == 0:
            raise RuntimeError(f'the store took no order: {exc}') from exc
