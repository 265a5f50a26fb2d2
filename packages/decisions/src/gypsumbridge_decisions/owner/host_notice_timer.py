"""The end of the time in which another node's host list counts."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HostNoticeTimer:
    """Afterwards this node's own copy of the host list decides."""

    endpoint: str
