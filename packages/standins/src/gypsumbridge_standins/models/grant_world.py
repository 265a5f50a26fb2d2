"""State of the model of a grant."""

import dataclasses

from gypsumbridge_decisions import quotas


@dataclasses.dataclass(frozen=True)
class GrantWorld:
    """One request for a token and its grant; the time is always 0.

    The request was sent at `sent_ms` and granted at `granted_ms`, None
    before that. `used_late` is set if the token was used a lifetime or more
    after it was granted.
    """

    sent_ms: int = 0
    granted_ms: int | None = None
    grant: quotas.Grant | None = None
    used_late: bool = False
