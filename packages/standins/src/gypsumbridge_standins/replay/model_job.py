"""A request at a model endpoint."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class ModelJob:
    """A request and the node whose owner waits for the reply."""

    node_id: str
    request: messages.EndpointRequest
