"""A request that another node delegates to this one."""

import dataclasses

from gypsumbridge_decisions.forwarding import caller_request


@dataclasses.dataclass(frozen=True)
class DelegatedRequest:
    """A request to gather with the routes of `version`.

    `request.network_ms` includes the time since the caller sent it. With
    `services`, only the parts of these are gathered, and the node that
    delegates adds the others. The reply states the `delegation_id`, which
    is unique at the node that delegates.
    """

    request: caller_request.CallerRequest
    version: int
    services: tuple[str, ...] = ()
    delegation_id: int = 0
