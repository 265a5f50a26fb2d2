"""The envelope around every declared resource."""

import dataclasses

from gypsumbridge_decisions.resources import endpoint
from gypsumbridge_decisions.resources import kind as kinds
from gypsumbridge_decisions.resources import limit
from gypsumbridge_decisions.resources import rank
from gypsumbridge_decisions.resources import service

Spec = service.Service | endpoint.Endpoint | rank.Rank | limit.Limit


@dataclasses.dataclass(frozen=True)
class Resource:
    """A declared resource as the store holds it.

    `revision` is the store's revision of its last write. `generation`
    counts changes of the spec from 1. `spec` is None once deleted.
    """

    kind: kinds.Kind
    name: str
    generation: int
    revision: int
    operation_id: str
    spec: Spec | None


def check_spec(spec: Spec) -> None:
    """Raise DeclarationError where the spec is not valid on its own."""
    if isinstance(spec, service.Service):
        service.check_service(spec)
    elif isinstance(spec, endpoint.Endpoint):
        endpoint.check_endpoint(spec)
    elif isinstance(spec, rank.Rank):
        rank.check_rank(spec)
    else:
        limit.check_limit(spec)
