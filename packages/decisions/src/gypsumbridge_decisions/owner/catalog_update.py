"""Updates the owner's replica sets from the catalog."""

from gypsumbridge_decisions import catalog as catalogs
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_decisions.owner import command
from gypsumbridge_decisions.owner import leaving_sources
from gypsumbridge_decisions.owner import replica_set_state
from gypsumbridge_decisions.owner import replica_state
from gypsumbridge_decisions.owner import result
from gypsumbridge_decisions.owner import state as states


def apply_catalog(state: states.OwnerState, catalog: catalogs.Catalog) -> None:
    """Replace the catalog and keep the measurements of retained endpoints.

    The states of replica sets are created on first use. Endpoints that are
    no longer declared get no new work; their requests in flight end as
    usual.
    """
    state.catalog = catalog
    for name, notice in list(state.operator_notices.items()):
        if notice.revision <= catalog.revision:
            del state.operator_notices[name]
    for key, set_state in list(state.sets.items()):
        if key not in catalog.replica_sets and set_state.is_idle():
            del state.sets[key]
            continue
        _update_replicas(state, set_state, catalog.replica_sets.get(key, ()))


def refuse_undeclared(state: states.OwnerState) -> list[command.Command]:
    """Refuse queued calls whose rank or replica set is no longer declared.

    Dispatch only iterates over declared ranks, so these calls would
    otherwise stay queued until their deadlines.
    """
    commands: list[command.Command] = []
    for key, set_state in state.sets.items():
        undeclared = key not in state.catalog.replica_sets
        for rank, queue in list(set_state.queues.items()):
            if rank in state.catalog.ranks and not undeclared:
                continue
            reason = messages.MissingReason.CONFIGURATION_STALE
            if undeclared:
                reason = messages.MissingReason.NO_ENDPOINT
            while (call := queue.pop()) is not None:
                commands += result.refuse(state, call, reason)
            del set_state.queues[rank]
    return commands


def find_set(
    state: states.OwnerState, key: tuple[str, str]
) -> replica_set_state.ReplicaSetState:
    """Return the state of a replica set, created on first use.

    The state of an undeclared replica set is not stored, so that names in
    messages cannot exhaust memory. It has no endpoint and accepts no work.
    """
    found = state.sets.get(key)
    if found is not None:
        return found
    created = replica_set_state.ReplicaSetState(key)
    if key in state.catalog.replica_sets:
        state.sets[key] = created
    _update_replicas(state, created, state.catalog.replica_sets.get(key, ()))
    return created


def _update_replicas(
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
        leaving_sources.refresh_sources(state, replica)
    for name in set_state.replicas.keys() - kept:
        del set_state.replicas[name]
