"""Whether this node may take new work."""

import dataclasses

from gypsumbridge_decisions.messages import missing_reason


@dataclasses.dataclass(frozen=True)
class ServingChanged:
    """An empty `refusal` means that the node takes new work."""

    refusal: missing_reason.MissingReason
