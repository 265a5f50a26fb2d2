"""The reply to `AnnounceLeaving`."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LeavingAnnounced:
    """The update has had time to spread to all members.

    From now on, work that still arrives is refused as not run.
    """
