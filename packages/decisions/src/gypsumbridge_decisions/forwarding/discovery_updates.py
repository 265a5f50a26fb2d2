"""Updates of routes, searchers and fleet size from service discovery."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import departed_searcher
from gypsumbridge_decisions.forwarding import evacuation_changed
from gypsumbridge_decisions.forwarding import fleet_size_changed
from gypsumbridge_decisions.forwarding import hold_changed
from gypsumbridge_decisions.forwarding import nodes_changed
from gypsumbridge_decisions.forwarding import route_table
from gypsumbridge_decisions.forwarding import routes_changed
from gypsumbridge_decisions.forwarding import searcher_health
from gypsumbridge_decisions.forwarding import searchers_changed
from gypsumbridge_decisions.forwarding import sending
from gypsumbridge_decisions.forwarding import state as states


def change_routes(
    state: states.ForwardingState, update: routes_changed.RoutesChanged
) -> list[command.Command]:
    """Apply a newer version of the routes to requests that arrive later."""
    current = state.table
    if current is not None and update.table.version <= current.version:
        return []
    state.previous_table = current
    state.table = update.table
    # The weights may have changed, so the credit of each target is invalid.
    state.splits.clear()
    refresh_shares(state)
    return [
        messages.Decision(
            'routes_changed',
            'newer_version',
            {
                'version': update.table.version,
                'hosts': len(update.table.routes),
                'services': len(update.table.connection_limits),
            },
        ),
        *report_skipped_keys(update.table),
    ]


def report_skipped_keys(
    table: route_table.RouteTable,
) -> list[command.Command]:
    """Log and count the keys that identify no customer."""
    if table.customers is None:
        return []
    commands: list[command.Command] = []
    for skipped in table.customers.skipped:
        fields: dict[str, str | int | float] = {
            'version': table.version,
            'customers': ','.join(skipped.customers),
            'keys': skipped.keys,
        }
        commands += [
            messages.Decision('customer_keys_skipped', skipped.reason, fields),
            messages.Count(
                f'forwarding.customer_keys_skipped.{skipped.reason}',
                skipped.keys,
            ),
        ]
    return commands


def change_searchers(
    state: states.ForwardingState,
    update: searchers_changed.SearchersChanged,
    now_ms: int,
) -> list[command.Command]:
    """Replace the searchers, keeping the health of those that remain."""
    previous = {
        old.searcher_id: old
        for searchers in state.searchers.values()
        for old in searchers
    }
    state.searchers = {}
    for found in update.searchers:
        state.searchers.setdefault(found.service, []).append(found)
        before = previous.pop(found.searcher_id, None)
        health = state.health.setdefault(
            found.searcher_id, searcher_health.SearcherHealth()
        )
        returned = state.departed.pop(found.searcher_id, None)
        if returned is not None:
            health.held_until_ms = None
        if returned is not None and health.is_remembered(
            returned.departed_ms, now_ms
        ):
            before = returned.searcher
        if before is None or not found.is_same_process(before):
            # The searcher was restarted or moved, so it is usable again.
            health.reset_statements()
        evacuated = found.failure_domain in state.coordination.evacuated
        health.set_evacuated(evacuated, now_ms)
    for gone in previous.values():
        state.departed[gone.searcher_id] = departed_searcher.DepartedSearcher(
            gone, now_ms
        )
    forget_departed(state, now_ms)
    state.room.changed.update(state.room.queues)
    refresh_shares(state)
    draining = sum(1 for found in update.searchers if found.draining)
    fields = {
        'revision': update.revision,
        'searchers': len(update.searchers),
        'draining': draining,
    }
    return [messages.Decision('searchers_changed', 'discovery', fields)]


def change_evacuation(
    state: states.ForwardingState,
    update: evacuation_changed.EvacuationChanged,
    now_ms: int,
) -> list[command.Command]:
    """Stop using the searchers under evacuation, and return to the others.

    What is in flight ends by itself.
    """
    state.coordination.evacuated = update.failure_domains
    for candidates in state.searchers.values():
        for found in candidates:
            state.health[found.searcher_id].set_evacuated(
                found.failure_domain in update.failure_domains, now_ms
            )
    refresh_shares(state)
    return []


def change_hold(
    state: states.ForwardingState, update: hold_changed.HoldChanged
) -> list[command.Command]:
    """Record until when a searcher without an entry may be used.

    The update that drops it then may be handled late, after a pause of this
    node, so the time is checked with each choice of a searcher.
    """
    health = state.health.get(update.searcher_id)
    if health is not None:
        health.held_until_ms = update.until_ms
    return []


def forget_departed(state: states.ForwardingState, now_ms: int) -> None:
    """Drop the health of departed searchers that is not needed any more."""
    busy_ids = {a.searcher.searcher_id for a in state.attempts.values()}
    for searcher_id, departed in tuple(state.departed.items()):
        health = state.health[searcher_id]
        if health.is_remembered(departed.departed_ms, now_ms):
            continue
        if searcher_id in busy_ids:
            continue
        del state.departed[searcher_id]
        del state.health[searcher_id]


def change_fleet_size(
    state: states.ForwardingState, update: fleet_size_changed.FleetSizeChanged
) -> list[command.Command]:
    """Recompute this node's share of the fixed retry allowance."""
    if update.nodes == state.nodes:
        return []
    state.nodes = update.nodes
    refresh_shares(state)
    fields = {'nodes': update.nodes}
    return [messages.Decision('fleet_size_changed', 'store', fields)]


def change_nodes(
    state: states.ForwardingState, update: nodes_changed.NodesChanged
) -> list[command.Command]:
    """Recompute the coordinators from the nodes of the fleet."""
    state.coordination.nodes = update.nodes
    refresh_shares(state)
    return []


def refresh_shares(state: states.ForwardingState) -> None:
    """Recompute the coordinators and this node's shares of the budgets."""
    state.coordination.refresh(state.table, state.searchers)
    for service, budget in state.budgets.items():
        budget.fixed = sending.fixed_budget(state, service)
