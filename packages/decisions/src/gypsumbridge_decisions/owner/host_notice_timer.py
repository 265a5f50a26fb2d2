"""Timer for the expiry of a host list notice from another node."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HostNoticeTimer:
    """After it fires, this node's own copy of the host list decides."""

    endpoint: str
