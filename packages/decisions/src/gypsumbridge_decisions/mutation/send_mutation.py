"""A command of the claim protocol: send to the owner."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SendMutation:
    """Sends the mutation; a run gives this command at most once."""
