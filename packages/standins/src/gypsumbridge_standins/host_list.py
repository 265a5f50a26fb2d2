"""Stand-in for the platform's host list."""

import json
from typing import Any

from gypsumbridge_standins import serve


class HostListState:
    """What is true and what is shown; the second lags behind."""

    def __init__(self, lag_ms: int) -> None:
        self.lag_ms = lag_ms
        self.shown: dict[str, dict[str, Any]] = {}
        self.outage = False


def start_host_list(reactor: Any, port: int, lag_ms: int) -> Any:
    """Listen on loopback; `PUT /hosts` sets a host after the lag.

    Its body is one host entry, or `{"name": ..., "gone": true}`.
    """
    state = HostListState(lag_ms)

    def handle(request: Any) -> bytes:
        if request.path == b'/v1/hosts':
            if state.outage:
                return serve.reply_json(request, 503, {})
            hosts = sorted(state.shown.values(), key=lambda h: h['name'])
            return serve.reply_json(request, 200, {'hosts': hosts})
        orders = json.loads(request.content.read())
        if request.path == b'/control':
            state.lag_ms = orders.get('lag_ms', state.lag_ms)
            state.outage = orders.get('outage', state.outage)
            return serve.reply_json(request, 200, {})
        if state.lag_ms:
            reactor.callLater(state.lag_ms / 1000, show, state, orders)
        else:
            show(state, orders)
        return serve.reply_json(request, 200, {})

    return serve.listen(reactor, port, handle)


def show(state: HostListState, orders: dict[str, Any]) -> None:
    """Apply a change to what the list shows."""
    if orders.get('gone'):
        state.shown.pop(orders['name'], None)
        return
    state.shown[orders['name']] = orders
