"""A declared resource with its metadata."""

import dataclasses

from gypsumbridge_decisions.resources import endpoint
from gypsumbridge_decisions.resources import kind as kinds
from gypsumbridge_decisions.resources import limit
from gypsumbridge_decisions.resources import rank
from gypsumbridge_decisions.resources import service

Spec = service.Service | endpoint.Endpoint | rank.Rank | limit.Limit


@dataclasses.dataclass(frozen=True)
class Resource:
    """A declared resource as it is stored.

    `revision` is the store's revision of the last write of the resource.
    `generation` counts the changes of the spec, starting at 1. `spec` is
    None for a deleted resource.
    """

    kind: kinds.Kind
    name: str
    generation: int
    revision: int
    operation_id: str
    spec: Spec | None


def check_spec(spec: Spec) -> None:
    """Raise DeclarationError if the spec is invalid on its own.

    References to other resources are not checked.
    """
    if isinstance(spec, service.Service):
        service.check_service(spec)
    elif isinstance(spec, endpoint.Endpoint):
        endpoint.check_endpoint(spec)
    elif isinstance(spec, rank.Rank):
        rank.check_rank(spec)
    else:
        limit.check_limit(spec)
