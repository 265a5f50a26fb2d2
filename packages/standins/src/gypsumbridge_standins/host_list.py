"""Stand-in for the platform's host list."""

import json
from typing import Any

from gypsumbridge_standins import serve


class HostListState:
    """The host entries that the list shows, `lag_ms` after each change."""

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
                return serve.encode_json_reply(request, 503, {})
            hosts = sorted(state.shown.values(), key=lambda h: h['name'])
            return serve.encode_json_reply(request, 200, {'hosts': hosts})
        command = json.loads(request.content.read())
        if request.path == b'/control':
            state.lag_ms = command.get('lag_ms', state.lag_ms)
            state.outage = command.get('outage', state.outage)
            return serve.encode_json_reply(request, 200, {})
        if state.lag_ms:
            reactor.callLater(
                state.lag_ms / 1000, apply_change, state, command
            )
        else:
            apply_change(state, command)
        return serve.encode_json_reply(request, 200, {})

    return serve.listen(reactor, port, handle)


def apply_change(state: HostListState, command: dict[str, Any]) -> None:
    """Apply a change to the entries that the list shows."""
    if command.get('gone'):
        state.shown.pop(command['name'], None)
        return
    state.shown[command['name']] = command
