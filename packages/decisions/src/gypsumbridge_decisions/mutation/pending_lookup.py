"""A lookup or resolve that awaits a reply of the store."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class PendingLookup:
    """`resolved_claim` is set once its write was sent to the store."""

    request: messages.MutationLookup | messages.MutationResolve
    resolved_claim: messages.Claim | None = None
