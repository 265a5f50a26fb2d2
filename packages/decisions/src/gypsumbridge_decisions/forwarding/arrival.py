"""First attempts and timers of a request."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import answer_timing
from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import exchange as exchanges
from gypsumbridge_decisions.forwarding import expiry_timer
from gypsumbridge_decisions.forwarding import finishing
from gypsumbridge_decisions.forwarding import grouping
from gypsumbridge_decisions.forwarding import hedge_timer
from gypsumbridge_decisions.forwarding import hedging
from gypsumbridge_decisions.forwarding import objective_timer
from gypsumbridge_decisions.forwarding import placement
from gypsumbridge_decisions.forwarding import refusing
from gypsumbridge_decisions.forwarding import route as routes
from gypsumbridge_decisions.forwarding import sending
from gypsumbridge_decisions.forwarding import split
from gypsumbridge_decisions.forwarding import state as states

STATUS_NO_ROUTE = 404


def expiry_ms(
    request: caller_request.CallerRequest, route: routes.Route
) -> int:
    """Return the deadline of the final response on this node's clock."""
    return request.arrived_ms + min(request.deadline_ms, route.timeout_ms)


def start_exchange(
    state: states.ForwardingState,
    request: caller_request.CallerRequest,
    route: routes.Route,
    version: int,
    now_ms: int,
    group: tuple[str, ...] = (),
    runs: int = 0,
) -> list[command.Command]:
    """Send the first attempts of a request to searchers.

    With `group`, only the parts of these services are gathered for a node
    that adds the others. A coordinator may have run the request `runs` times.
    """
    exchange = exchanges.Exchange(
        request,
        route,
        version,
        group or choose_services(state, route),
        expiry_ms(request, route),
        partial=bool(group),
        domains=placement.allowed_domains(
            state.policy, state.table_for(version), request, route
        ),
    )
    state.exchanges[request.call_id] = exchange
    if not is_coverable(state, exchange, now_ms):
        return refuse_unsent(state, exchange, now_ms)
    for part in exchange.parts:
        part.runs = runs
    commands = grouping.send_groups(state, exchange, now_ms)
    for part in exchange.parts:
        if part.delegated:
            continue
        commands += sending.send_first_attempt(state, exchange, part, now_ms)
    if not exchange.open_services:
        return commands + refuse_unsent(state, exchange, now_ms)
    return commands + set_timers(state, exchange, now_ms)


def refuse_unsent(
    state: states.ForwardingState, exchange: exchanges.Exchange, now_ms: int
) -> list[command.Command]:
    """Refuse a request of which nothing was sent.

    The operator is told if an evacuation or the homes are the reason. A
    group is not a request of its own.
    """
    commands: list[command.Command] = []
    if exchange.partial:
        return finishing.finish(state, exchange, now_ms)
    places = {
        sending.EVACUATED: state.coordination.evacuated,
        sending.OUTSIDE_HOMES: exchange.domains or placement.NOWHERE,
    }
    for reason, domains in places.items():
        services = [
            part.service for part in exchange.parts if part.reason == reason
        ]
        if services:
            commands += refusing.log_unplaced(
                exchange.request,
                exchange.route.name,
                reason,
                services,
                domains,
            )
    return commands + finishing.finish(state, exchange, now_ms)


def is_coverable(
    state: states.ForwardingState, exchange: exchanges.Exchange, now_ms: int
) -> bool:
    """Return whether enough services of a gather can be sent requests.

    Otherwise no request is sent, so that the caller may be told that nothing
    was run. Groups may lack any number of their parts.
    """
    rule = exchange.route.gather
    if rule is None or exchange.partial:
        return True
    missing = [
        part
        for part in exchange.parts
        if not sending.has_usable_searcher(
            state, exchange, part.service, now_ms
        )
    ]
    for part in missing:
        sending.record_unusable(state, exchange, part, now_ms)
    usable = len(exchange.parts) - len(missing)
    return usable / len(exchange.parts) >= rule.min_coverage


def choose_services(
    state: states.ForwardingState, route: routes.Route
) -> tuple[str, ...]:
    """Return all targets of a gather route, or the next one by weight."""
    if route.gather is not None:
        return tuple(target.service for target in route.targets)
    if len(route.targets) == 1:
        return (route.targets[0].service,)
    if route.name not in state.splits:
        state.splits[route.name] = split.Split(route.targets)
    return (state.splits[route.name].next_service(),)


def set_timers(
    state: states.ForwardingState, exchange: exchanges.Exchange, now_ms: int
) -> list[command.Command]:
    """Return the expiry, hedge and objective timers of a sent request."""
    call_id = exchange.request.call_id
    wait_ms = answer_timing.answer_after_ms(
        state, exchange.route, exchange.request
    )
    commands: list[command.Command] = [
        messages.Timer(
            exchange.expires_ms - now_ms, expiry_timer.ExpiryTimer(call_id)
        )
    ]
    if exchange.route.idempotent:
        delay_ms = hedging.hedge_delay_ms(state, exchange.route, wait_ms)
        commands.append(
            messages.Timer(delay_ms, hedge_timer.HedgeTimer(call_id))
        )
    if exchange.route.gather is not None:
        exchange.answer_ms = exchange.request.arrived_ms + wait_ms
        commands.append(
            messages.Timer(
                max(0, exchange.answer_ms - now_ms),
                objective_timer.ObjectiveTimer(call_id, exchange.answer_ms),
            )
        )
    return commands
