"""An action of the claim protocol: write the key."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class WriteClaim:
    """Writes the claim by compare-and-swap on the key's revision."""

    claim: messages.Claim
    expected_revision: int
