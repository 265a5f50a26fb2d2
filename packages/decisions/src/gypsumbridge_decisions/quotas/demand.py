"""The requests of one customer at this node."""

from gypsumbridge_decisions.quotas import grants_in_hand
from gypsumbridge_decisions.quotas import waiting_request


class Demand:
    """Waiting requests by call id, tokens in hand, and what holders said.

    `order` lists the customer's partitions, and `last_giver` is the last one
    that gave tokens. A partition is not asked before its time in
    `empty_until_ms` or `unknown_until_ms`. In the round that serves the
    waiting requests, `tried` holds the partitions that were asked and `empty`
    when those without tokens have one again. `ask_id` is the outstanding
    request for tokens, 0 if there is none.
    """

    def __init__(self, order: tuple[int, ...]) -> None:
        self.order = order
        self.waiting: dict[int, waiting_request.WaitingRequest] = {}
        self.grants = grants_in_hand.GrantsInHand()
        self.last_giver: int | None = None
        self.empty_until_ms: dict[int, int] = {}
        self.unknown_until_ms: dict[int, int] = {}
        self.tried: set[int] = set()
        self.empty: dict[int, int] = {}
        self.ask_id = 0

    def end_round(self) -> None:
        """Forget which partitions were asked."""
        self.tried.clear()
        self.empty.clear()
