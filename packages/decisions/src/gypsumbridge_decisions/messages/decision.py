"""A routing or placement decision for the log."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True)
class Decision:
    """One decision log line.

    `name` says what was decided, `reason` why; `fields` holds the ids
    that the decision concerns.
    """

    name: str
    reason: str
    fields: Mapping[str, str | int | float]
