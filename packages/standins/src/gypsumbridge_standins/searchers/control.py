"""HTTP control of the searcher stand-ins: sets faults, returns counts."""

import json
from typing import Any

from gypsumbridge_standins import serve
from gypsumbridge_standins.searchers import searcher_state

_SETTABLE = (
    'slowdown',
    'draining',
    'shedding',
    'silent',
    'lose_replies',
    'wrong_shard',
)


def start_control(
    reactor: Any, port: int, states: dict[str, searcher_state.SearcherState]
) -> Any:
    """Listen on loopback.

    `POST` takes `{"searchers": [names], "set": {...}, "shards": {...}}`,
    where `searchers` is by default all of them. `GET` returns the counts of
    every searcher by name.
    """

    def handle(request: Any) -> bytes:
        if request.method == b'GET':
            counts = {name: s.counts() for name, s in states.items()}
            return serve.encode_json_reply(request, 200, counts)
        command = json.loads(request.content.read())
        for name in command.get('searchers', list(states)):
            apply_command(states[name], command)
        return serve.encode_json_reply(request, 200, {})

    return serve.listen(reactor, port, handle)


def apply_command(
    state: searcher_state.SearcherState, command: dict[str, Any]
) -> None:
    """Apply a command to one searcher."""
    for name, value in command.get('set', {}).items():
        if name in _SETTABLE:
            setattr(state, name, value)
    if 'shards' in command:
        state.shards = {v: set(s) for v, s in command['shards'].items()}
