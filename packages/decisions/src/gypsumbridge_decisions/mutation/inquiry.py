"""A lookup or resolve that waits for the store."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class Inquiry:
    """`written` is the resolved claim once it was sent to the store."""

    request: messages.MutationLookup | messages.MutationResolve
    written: messages.Claim | None = None
