"""A searcher as service discovery describes it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Searcher:
    """One searcher process.

    `incarnation` changes when a searcher starts again under its id. A
    `draining` searcher takes no new requests. `slots` is how many requests
    it runs at the same time.
    """

    searcher_id: str
    service: str
    address: str
    port: int
    failure_domain: str
    slots: int
    draining: bool
    incarnation: int = 0
