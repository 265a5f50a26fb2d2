"""Brings the owner's replica sets in line with the catalog."""

from gypsumbridge_decisions import catalog as catalogs
from gypsumbridge_decisions import resources
from gypsumbridge_decisions.owner import leaving_marks
from gypsumbridge_decisions.owner import replica_set_state
from gypsumbridge_decisions.owner import replica_state
from gypsumbridge_decisions.owner import state as states


def apply_catalog(state: states.OwnerState, catalog: catalogs.Catalog) -> None:
    """Take a newer catalog; measurements of kept endpoints survive.

    Replica sets appear on first use. Endpoints that are gone get no new
    work; their requests in flight end as usual.
    """
    state.catalog = catalog
    for name, news in list(state.operator_news.items()):
        if news.revision <= catalog.revision:
            del state.operator_news[name]
    for key, set_state in state.sets.items():
        _refresh(state, set_state, catalog.replica_sets.get(key, ()))


def find_set(
    state: states.OwnerState, key: tuple[str, str]
) -> replica_set_state.ReplicaSetState:
    """Return the state of a replica set, made on first use."""
    found = state.sets.get(key)
    if found is not None:
        return found
    made = replica_set_state.ReplicaSetState(key)
    state.sets[key] = made
    _refresh(state, made, state.catalog.replica_sets.get(key, ()))
    return made


def _refresh(
    state: states.OwnerState,
    set_state: replica_set_state.ReplicaSetState,
    endpoints: tuple[resources.Endpoint, ...],
) -> None:
    kept = set()
    for endpoint in endpoints:
        kept.add(endpoint.name)
        replica = set_state.replicas.get(endpoint.name)
        if replica is None:
            replica = replica_state.ReplicaState(endpoint)
            set_state.replicas[endpoint.name] = replica
        replica.endpoint = endpoint
        leaving_marks.refresh(state, replica)
    for name in set_state.replicas.keys() - kept:
        del set_state.replicas[name]
