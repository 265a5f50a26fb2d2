"""Sends commands to the platform's stand-ins."""

import json
from typing import Any

from twisted.web import client

from gypsumbridge_standins.fault_soak import http_exchange
from gypsumbridge_standins.fault_soak import soak_state

TIMEOUT_S = 10.0


async def send_command(
    state: soak_state.SoakState, number: int, **command: Any
) -> None:
    """Send a command to the stand-in with the given number.

    The second one may be killed or paused, so only the first one, which
    serves the store, has to respond. Raises RuntimeError if it does not.
    """
    agent = client.Agent(state.reactor, connectTimeout=TIMEOUT_S)
    try:
        await http_exchange.exchange(
            state.reactor,
            agent,
            TIMEOUT_S,
            b'POST',
            f'http://{state.cluster.controls[number]}/',
            body=json.dumps(command).encode(),
        )
    except http_exchange.FAILURES as exc:
        if number == 0:
            raise RuntimeError(
                f'no reply to a command to the store: {exc}'
            ) from exc
