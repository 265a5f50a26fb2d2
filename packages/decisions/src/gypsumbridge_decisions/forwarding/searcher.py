"""A searcher as service discovery describes it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Searcher:
    """One searcher process.

    `incarnation` changes when a searcher restarts under the same id, but is 0
    where entries do not state it. `sequence` grows with each write of its
    entry and starts anew with the process. A `draining` searcher accepts no
    new requests. `slots` is the number of requests that it runs concurrently.
    """

    searcher_id: str
    service: str
    address: str
    port: int
    failure_domain: str
    slots: int
    draining: bool
    incarnation: int = 0
    sequence: int = dataclasses.field(default=0, compare=False)

    def is_same_process(self, other: 'Searcher') -> bool:
        """Return whether an earlier entry was written by the same process."""
        return (
            self.incarnation == other.incarnation
            and self.address == other.address
            and self.port == other.port
            and self.sequence >= other.sequence
        )
