"""The shared arguments of the searchers task's functions."""

import dataclasses

from gypsumbridge_node.gateway import header_names
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_node.gateway import searchers_state


@dataclasses.dataclass(frozen=True)
class SearchersContext:
    """The node's runtime, the task's state, and the platform's headers."""

    runtime: runtimes.GatewayRuntime
    state: searchers_state.SearchersState
    names: header_names.HeaderNames
