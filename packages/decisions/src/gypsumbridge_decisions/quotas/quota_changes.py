"""Changes of the quotas and of the nodes."""

from gypsumbridge_decisions.forwarding import nodes_changed
from gypsumbridge_decisions.quotas import asking
from gypsumbridge_decisions.quotas import candidates
from gypsumbridge_decisions.quotas import command
from gypsumbridge_decisions.quotas import limits as all_limits
from gypsumbridge_decisions.quotas import quotas_changed
from gypsumbridge_decisions.quotas import state as states


def change_quotas(
    state: states.QuotaState,
    message: quotas_changed.QuotasChanged,
    now_ms: int,
) -> list[command.Command]:
    """Apply the quotas of a newer configuration.

    Buckets of customers that are gone are kept for a time, as the customers
    may come back before the tokens that they got no longer count.
    """
    if state.version is not None and message.version <= state.version:
        return []
    state.version = message.version
    state.orders = {}
    state.quotas = message.quotas
    before = state.limits
    state.limits = {
        customer: all_limits.derive_limits(quota, state.policy)
        for customer, quota in message.quotas.items()
        if all_limits.is_limited(quota)
    }
    commands: list[command.Command] = []
    for customer in sorted(before.keys() | state.limits.keys()):
        old, new = before.get(customer), state.limits.get(customer)
        if old is not None and new is not None:
            if old.partitions != new.partitions:
                state.repartitioned_ms[customer] = now_ms
        if old != new:
            commands += change_limits(state, customer, now_ms)
    drop_unused(state, now_ms)
    return commands


def change_limits(
    state: states.QuotaState, customer: str, now_ms: int
) -> list[command.Command]:
    """Resize the buckets of a customer, and ask again for what waits.

    Buckets of a quota that is divided among another number of partitions
    begin anew, since each of the old ones may have been larger.
    """
    limits = state.limits.get(customer)
    for partition in state.partitions:
        bucket = partition.buckets.get(customer)
        if bucket is None or limits is None:
            continue
        if bucket.limits.partitions != limits.partitions:
            del partition.buckets[customer]
            continue
        bucket.resize(limits, now_ms)
    demand = state.demands.get(customer)
    if demand is None:
        return []
    if limits is not None:
        demand.order = state.order(customer, limits)
    demand.empty_until_ms.clear()
    demand.unknown_until_ms.clear()
    return asking.serve(state, customer, now_ms)


def drop_unused(state: states.QuotaState, now_ms: int) -> None:
    """Drop what is kept for customers that are gone."""
    for partition in state.partitions:
        for customer, bucket in tuple(partition.buckets.items()):
            idle_ms = now_ms - bucket.updated_ms
            is_gone = customer not in state.limits
            if is_gone and idle_ms > bucket.limits.full_after_ms:
                del partition.buckets[customer]
    for customer, demand in tuple(state.demands.items()):
        if customer not in state.limits and not demand.ask_id:
            del state.demands[customer]
    for customer in tuple(state.repartitioned_ms):
        if customer not in state.quotas:
            del state.repartitioned_ms[customer]


def change_nodes(
    state: states.QuotaState, message: nodes_changed.NodesChanged
) -> list[command.Command]:
    """Find the candidates of each partition anew."""
    state.nodes = {node.node_id: node for node in message.nodes}
    state.candidates = {
        partition.number: candidates.find_candidates(
            message.nodes, partition.number
        )
        for partition in state.partitions
    }
    return []
