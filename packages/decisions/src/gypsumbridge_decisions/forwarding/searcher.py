"""A searcher as service discovery describes it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Searcher:
    """One searcher process.

    `incarnation` changes when a searcher restarts under the same id. A
    `draining` searcher accepts no new requests. `slots` is the number of
    requests that it runs concurrently.
    """

    searcher_id: str
    service: str
    address: str
    port: int
    failure_domain: str
    slots: int
    draining: bool
    incarnation: int = 0

    def is_same_process(self, other: 'Searcher') -> bool:
        """Return whether another entry was written by the same process."""
        return (
            self.incarnation == other.incarnation
            and self.address == other.address
            and self.port == other.port
        )
