"""A reply on its way to a node of the configuration model."""

import dataclasses

from gypsumbridge_decisions import configuration


@dataclasses.dataclass(frozen=True)
class Reply:
    """`sent_ms` is when the receiver asked for it."""

    sent_ms: int
    revision: int
    confirmed_age_ms: int | None
    vote: configuration.Vote | None
