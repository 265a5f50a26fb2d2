"""Changes of routes, searchers and nodes."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import extra_budget
from gypsumbridge_decisions.forwarding import fleet_size_changed
from gypsumbridge_decisions.forwarding import routes_changed
from gypsumbridge_decisions.forwarding import searcher_health
from gypsumbridge_decisions.forwarding import searchers_changed
from gypsumbridge_decisions.forwarding import state as states


def change_routes(
    state: states.ForwardingState, news: routes_changed.RoutesChanged
) -> list[command.Command]:
    """Put a newer version into force for requests that arrive from now on."""
    current = state.table
    if current is not None and news.table.version <= current.version:
        return []
    state.table = news.table
    # Weights may have changed, and with them what each target is owed.
    state.splits.clear()
    return [
        messages.Decision(
            'routes_changed',
            'newer_version',
            {
                'version': news.table.version,
                'hosts': len(news.table.routes),
                'services': len(news.table.connection_limits),
            },
        )
    ]


def change_searchers(
    state: states.ForwardingState, news: searchers_changed.SearchersChanged
) -> list[command.Command]:
    """Replace the searchers; measurements of those that stay are kept."""
    known: set[str] = set()
    previous = {
        found.searcher_id: found
        for service in state.searchers.values()
        for found in service
    }
    state.searchers = {}
    for found in news.searchers:
        known.add(found.searcher_id)
        state.searchers.setdefault(found.service, []).append(found)
        before = previous.get(found.searcher_id, found)
        if before != dataclasses.replace(found, draining=before.draining):
            # Started again, or moved: what was measured is out of date.
            state.health[found.searcher_id].replaced = False
        if found.searcher_id not in state.health:
            state.health[found.searcher_id] = searcher_health.SearcherHealth()
    busy = {a.searcher.searcher_id for a in state.attempts.values()}
    for searcher_id in state.health.keys() - known - busy:
        del state.health[searcher_id]
    draining = sum(1 for found in news.searchers if found.draining)
    fields = {
        'revision': news.revision,
        'searchers': len(news.searchers),
        'draining': draining,
    }
    return [messages.Decision('searchers_changed', 'discovery', fields)]


def change_fleet_size(
    state: states.ForwardingState, news: fleet_size_changed.FleetSizeChanged
) -> list[command.Command]:
    """Divide the fixed allowance of the retry budgets anew."""
    if news.nodes == state.nodes:
        return []
    state.nodes = news.nodes
    fixed = extra_budget.fixed_share(state.policy.extra_allowance, state.nodes)
    for budget in state.budgets.values():
        budget.fixed = fixed
    fields = {'nodes': news.nodes}
    return [messages.Decision('fleet_size_changed', 'store', fields)]
