"""An action of the claim protocol: send the mutation to the owner."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SendMutation:
    """Sends the mutation; a run takes this action at most once."""
