"""Timer for the expiry of a host list notice from another node."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HostNoticeTimer:
    """When it fires, the flag in this node's copy of the host list applies."""

    endpoint: str
