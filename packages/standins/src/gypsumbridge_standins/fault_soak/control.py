"""Orders to the platform's stand-ins."""

import json
from typing import Any

from twisted.internet import defer
from twisted.internet import error
from twisted.web import client

from gypsumbridge_node import bytes_producer
from gypsumbridge_standins.fault_soak import soak_state

TIMEOUT_S = 10.0


async def order(
    state: soak_state.SoakState, number: int, **content: Any
) -> None:
    """Send an order to the stand-in of that number.

    The second one may be killed or paused, so no reply is no failure there.
    """
    agent = client.Agent(state.reactor, connectTimeout=TIMEOUT_S)
    uri = f'http://{state.cluster.controls[number]}/'.encode()
    body = bytes_producer.BytesProducer(json.dumps(content).encode())
    try:
        request = agent.request(b'POST', uri, None, body)
        response = await request.addTimeout(TIMEOUT_S, state.reactor)
        await client.readBody(response)
    except (
        error.ConnectError,
        client.ResponseFailed,
        defer.TimeoutError,
    ) as exc:
        if number == 0:
            raise RuntimeError(f'the store took no order: {exc}') from exc
