"""What a node knows of the configuration."""

import dataclasses

from gypsumbridge_decisions.messages import domain_summary
from gypsumbridge_decisions.messages import store_item


@dataclasses.dataclass(frozen=True)
class ConfigState:
    """Answers `ConfigPull`.

    With `snapshot`, `items` are part of everything held at
    `items_revision` and follow the pull's `after_key`; otherwise they are
    the changes up to `items_revision` in their order. `more` says that
    another pull gets the next part. `revision` is the sender's, which the
    store confirmed `confirmed_age_ms` ago (None: never), and the store or
    a majority of failure domains `proof_age_ms` ago. A sender that has
    not `recovered` gives no vote. `stamp_ms` is on the sender's clock.
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
