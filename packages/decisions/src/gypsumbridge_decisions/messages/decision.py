"""A routing or placement decision for the log."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True)
class Decision:
    """One line of the decision log.

    `name` is what was decided and `reason` why; `fields` holds the ids and
    values that the decision concerns.
    """

    name: str
    reason: str
    fields: Mapping[str, str | int | float]
