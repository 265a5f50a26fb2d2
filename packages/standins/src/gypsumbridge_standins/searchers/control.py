"""Orders faults at searcher stand-ins and reads their counts."""

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
    `GET` returns the counts of every searcher by name.
    """

    def handle(request: Any) -> bytes:
        if request.method == b'GET':
            counts = {name: s.counts() for name, s in states.items()}
            return serve.encode_json_reply(request, 200, counts)
        orders = json.loads(request.content.read())
        for name in orders.get('searchers', list(states)):
            obey(states[name], orders)
        return serve.encode_json_reply(request, 200, {})

    return serve.listen(reactor, port, handle)


def obey(state: searcher_state.SearcherState, orders: dict[str, Any]) -> None:
    """Apply one order to one searcher."""
    for name, value in orders.get('set', {}).items():
        if name in _SETTABLE:
            setattr(state, name, value)
    if 'shards' in orders:
        state.shards = {v: set(s) for v, s in orders['shards'].items()}
