"""Maps resource kinds to the types of their specs."""

from gypsumbridge_decisions.resources import endpoint
from gypsumbridge_decisions.resources import kind as kinds
from gypsumbridge_decisions.resources import limit
from gypsumbridge_decisions.resources import rank
from gypsumbridge_decisions.resources import resource
from gypsumbridge_decisions.resources import service

_TYPES: dict[kinds.Kind, type] = {
    kinds.Kind.SERVICE: service.Service,
    kinds.Kind.ENDPOINT: endpoint.Endpoint,
    kinds.Kind.RANK: rank.Rank,
    kinds.Kind.LIMIT: limit.Limit,
}
_KINDS = {spec_type: kind for kind, spec_type in _TYPES.items()}


def spec_type(kind: kinds.Kind) -> type:
    """Return the type of a kind's spec."""
    return _TYPES[kind]


def kind_of(spec: resource.Spec) -> kinds.Kind:
    """Return the kind of a spec."""
    return _KINDS[type(spec)]
