"""State of the calls to one holder."""

from gypsumbridge_node.gateway import api_client_state
from gypsumbridge_node.gateway import holder_ask


class HolderCalls:
    """Connections to a holder, and the requests that wait for one.

    `running` counts the calls in progress, `waiting` holds the other
    requests by id, in the order in which they arrived.
    """

    def __init__(self, client: api_client_state.ApiClientState) -> None:
        self.client = client
        self.running = 0
        self.waiting: dict[int, holder_ask.HolderAsk] = {}
