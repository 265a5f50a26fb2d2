"""A command of the claim protocol: write the key."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class WriteClaim:
    """Writes the claim if the key's revision is the expected one."""

    claim: messages.Claim
    expected_revision: int
