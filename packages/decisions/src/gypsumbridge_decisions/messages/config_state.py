"""The reply to a pull of the configuration."""

import dataclasses

from gypsumbridge_decisions.messages import domain_summary
from gypsumbridge_decisions.messages import store_item


@dataclasses.dataclass(frozen=True)
class ConfigState:
    """The configuration that a node holds, or a chunk of it.

    With `snapshot`, `items` are a chunk of the resources at
    `items_revision`, starting after the pull's `after_key`; otherwise they
    are the ordered changes up to `items_revision`. `more` says that another
    pull returns the next chunk. `revision` is the one that the sender
    holds; it was confirmed by the store `confirmed_age_ms` ago, and by the
    store or a majority of failure domains `proof_age_ms` ago (None: never).
    A sender that has not `recovered` does not vote. `stamp_ms` is a reading
    of the sender's clock.
    """

    sender: str
    failure_domain: str
    token: int
    revision: int
    recovered: bool
    confirmed_age_ms: int | None
    proof_age_ms: int | None
    stamp_ms: int
    items: tuple[store_item.StoreItem, ...] = ()
    items_revision: int = 0
    snapshot: bool = False
    more: bool = False
    summaries: tuple[domain_summary.DomainSummary, ...] = ()
