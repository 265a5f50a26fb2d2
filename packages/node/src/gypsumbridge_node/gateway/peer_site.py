"""The calls of other nodes that one task answers."""

from collections.abc import Callable
import dataclasses

from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import server_connection


@dataclasses.dataclass(frozen=True)
class PeerSite:
    """Functions of the task that owns the calls in progress of a path.

    `on_request` gets each request. `on_disconnect` gets each connection that
    was closed during a request, which may be one of another task.
    """

    on_request: Callable[
        [server_connection.ServerConnection, parsed_request.ParsedRequest],
        None,
    ]
    on_disconnect: Callable[[server_connection.ServerConnection], None]
