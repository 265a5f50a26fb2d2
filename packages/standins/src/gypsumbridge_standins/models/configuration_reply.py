"""A reply in flight to a node of the configuration model."""

import dataclasses

from gypsumbridge_decisions import configuration


@dataclasses.dataclass(frozen=True)
class Reply:
    """`sent_ms` is the time of the receiver's request."""

    sent_ms: int
    revision: int
    confirmed_age_ms: int | None
    vote: configuration.Vote | None
