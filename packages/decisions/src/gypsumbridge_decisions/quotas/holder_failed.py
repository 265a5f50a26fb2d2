"""A holder that did not answer."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HolderFailed:
    """Ends AskHolder; `reason` names the cause."""

    ask_id: int
    reason: str
