"""State of the task that serves operators."""

import itertools
from typing import Any

from twisted.internet import defer

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import messages


class OperatorState:
    """Requests in progress and this node's view of the fleet.

    `waiting` maps the token of each request to another task to the Deferred
    of its reply. `watches` maps a token to the revision that a long poll
    waits to see exceeded, and its Deferred. `running` counts HTTP requests
    in progress. While `closing_connections` is set, each response closes
    its connection.
    """

    def __init__(self) -> None:
        self.tokens = itertools.count(1)
        self.waiting: dict[str, defer.Deferred[Any]] = {}
        self.watches: dict[str, tuple[int, defer.Deferred[Any]]] = {}
        self.running = 0
        self.closing_connections = False
        self.catalog = catalog.empty_catalog()
        self.members: tuple[messages.Member, ...] = ()
        self.serving = messages.ServingChanged(
            messages.MissingReason.CONFIGURATION_STALE
        )

    def next_token(self) -> str:
        """Return a token that this task has not used yet."""
        return str(next(self.tokens))


def receive(state: OperatorState, message: Any) -> None:
    """Record an update of the node's state, or complete a pending request."""
    match message:
        case messages.CatalogChanged():
            state.catalog = message.catalog
            end_watches(state, message.catalog.revision)
        case messages.MembersChanged():
            state.members = message.members
        case messages.ServingChanged():
            state.serving = message
        case messages.EndKeepAlive():
            state.closing_connections = True
        case _:
            waiter = state.waiting.pop(message.token, None)
            if waiter is not None:
                waiter.callback(message)


def end_watches(state: OperatorState, revision: int) -> None:
    """End the long polls that waited for an earlier revision."""
    for token, (after_revision, waiter) in list(state.watches.items()):
        if revision > after_revision:
            del state.watches[token]
            waiter.callback(None)
