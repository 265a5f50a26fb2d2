"""Sending attempts to searchers."""

from gypsumbridge_decisions.forwarding import attempt
from gypsumbridge_decisions.forwarding import choosing
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import exchange as exchanges
from gypsumbridge_decisions.forwarding import part_state
from gypsumbridge_decisions.forwarding import placement
from gypsumbridge_decisions.forwarding import retry_budget
from gypsumbridge_decisions.forwarding import searcher as searchers
from gypsumbridge_decisions.forwarding import searcher_loads
from gypsumbridge_decisions.forwarding import send_attempt
from gypsumbridge_decisions.forwarding import state as states
from gypsumbridge_decisions.forwarding import waiting_for_room

NO_SEARCHER = 'no_searcher'
# None of them is expected to complete the request in time.
NO_ROOM = 'no_room'
# All of them have stated that they leave or want no requests now, or were
# replaced by other searchers at their addresses.
SEARCHERS_CLOSED = 'searchers_closed'
# All of them that the request's homes allow are in evacuated failure domains.
EVACUATED = 'evacuated'
# None of them is in a failure domain that the request's homes allow.
OUTSIDE_HOMES = 'outside_homes'
# Attempts that a searcher refused without running them, or that never left
# this node, do not count as runs; this is their limit for each part.
MAX_SENDS_NOT_RUN = 2
# A request that must not run twice is not sent over a connection that has been
# idle for this long, since the searcher may be closing it at that moment.
MAX_IDLE_NON_IDEMPOTENT_MS = 500
# With this limit no idle connection is used, so a new one is opened.
NO_IDLE_MS = 0


def budget_for(
    state: states.ForwardingState, service: str
) -> retry_budget.RetryBudget:
    """Return the retry budget of a service, created on first use."""
    found = state.budgets.get(service)
    if found is None:
        policy = state.policy
        found = retry_budget.RetryBudget(
            policy.retry_ratio,
            fixed_budget(state, service),
            policy.window_ms,
            state.started_ms,
        )
        state.budgets[service] = found
    return found


def fixed_budget(state: states.ForwardingState, service: str) -> float:
    """Return this node's share of a service's fixed retry allowance."""
    sharers = state.coordination.count_sharers(service, state.nodes)
    return retry_budget.fixed_share(state.policy.retry_allowance, sharers)


def send_first_attempt(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    part: part_state.PartState,
    now_ms: int,
) -> list[command.Command]:
    """Send the first attempt of a part if the service has a searcher.

    Where load is controlled, the part waits for room.
    """
    if state.controls_load() and is_placed(state, exchange, part.service):
        waiting_for_room.wait_for_room(
            state, exchange, part, is_repeat=part.runs > 0
        )
        return []
    chosen = choose(state, exchange, part, now_ms)
    if chosen is None:
        record_unusable(state, exchange, part, now_ms)
        return []
    budget_for(state, part.service).count_request(now_ms)
    return [send(state, exchange, part, chosen, now_ms)]


def has_usable_searcher(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    service: str,
    now_ms: int,
) -> bool:
    """Return whether any searcher of a service may be sent a request."""
    for candidate in state.searchers.get(service, ()):
        measured = state.health[candidate.searcher_id]
        if placement.may_be_sent(
            candidate, measured, exchange.domains, now_ms
        ):
            return True
    return False


def is_placed(
    state: states.ForwardingState, exchange: exchanges.Exchange, service: str
) -> bool:
    """Return whether any searcher of a service is where a request may run."""
    live = [
        candidate
        for candidate in state.searchers.get(service, ())
        if not candidate.draining
    ]
    return bool(placement.placed(live, state.health, exchange.domains))


def record_unusable(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    part: part_state.PartState,
    now_ms: int,
) -> None:
    """Record why no searcher of a part may be sent the request."""
    live = [
        candidate
        for candidate in state.searchers.get(part.service, ())
        if not candidate.draining
    ]
    usable = placement.placed(live, state.health, exchange.domains)
    part.reason = SEARCHERS_CLOSED
    if not live:
        part.reason = NO_SEARCHER
    elif not usable:
        domains = exchange.domains
        at_home = domains is None or any(
            candidate.failure_domain in domains for candidate in live
        )
        part.reason = EVACUATED if at_home else OUTSIDE_HOMES
    part.usable_at_ms = choosing.next_usable_ms(usable, state.health, now_ms)


def send_extra_attempt(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    part: part_state.PartState,
    now_ms: int,
    charged: bool = True,
    max_idle_ms: int | None = None,
) -> list[command.Command]:
    """Send one more attempt if limits, candidates and budget allow it.

    An attempt is `charged` to the budget unless it replaces one that was
    never sent, since the service has not received that request. A
    connection that has been idle for `max_idle_ms` or longer is not used.
    """
    route = exchange.route
    if now_ms >= exchange.expires_ms:
        # This node was paused, and its expiry timer has not been handled.
        return []
    if part.runs >= route.max_attempts:
        return []
    if part.sends >= route.max_attempts + MAX_SENDS_NOT_RUN:
        return []
    chosen = choose(state, exchange, part, now_ms)
    if chosen is None:
        return []
    if charged and not budget_for(state, part.service).spend(now_ms):
        return []
    return [send(state, exchange, part, chosen, now_ms, max_idle_ms)]


def send_to_only_searcher(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    part: part_state.PartState,
    now_ms: int,
) -> list[command.Command]:
    """Send a part once more to the only searcher that it may be sent to.

    A new connection is used, since the one of the first attempt may have
    lost data without being closed.
    """
    candidates = placement.placed(
        state.searchers.get(part.service, ()), state.health, exchange.domains
    )
    if len(candidates) != 1 or part.sends != 1:
        return []
    if now_ms >= exchange.expires_ms or exchange.route.max_attempts < 2:
        return []
    chosen = choosing.choose_searcher(
        candidates,
        state.health,
        state.policy,
        searcher_loads.full_searchers(state, part.service, now_ms),
        now_ms,
        exchange.domains,
    )
    if chosen is None or not budget_for(state, part.service).spend(now_ms):
        return []
    return [send(state, exchange, part, chosen, now_ms, NO_IDLE_MS)]


def choose(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    part: part_state.PartState,
    now_ms: int,
) -> searchers.Searcher | None:
    """Return the best searcher that this part has not tried."""
    return choosing.choose_searcher(
        state.searchers.get(part.service, ()),
        state.health,
        state.policy,
        part.tried
        | searcher_loads.full_searchers(state, part.service, now_ms),
        now_ms,
        exchange.domains,
    )


def send(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    part: part_state.PartState,
    chosen: searchers.Searcher,
    now_ms: int,
    max_idle_ms: int | None = None,
) -> send_attempt.SendAttempt:
    """Record an attempt and return the command to send it."""
    if max_idle_ms is None and not exchange.route.idempotent:
        max_idle_ms = MAX_IDLE_NON_IDEMPOTENT_MS
    state.last_attempt_id += 1
    attempt_id = state.last_attempt_id
    state.attempts[attempt_id] = attempt.Attempt(
        exchange.request.call_id,
        exchange.route.name,
        part.service,
        chosen,
        now_ms,
    )
    state.health[chosen.searcher_id].in_flight += 1
    part.running.add(attempt_id)
    part.tried.add(chosen.searcher_id)
    part.sends += 1
    exchange.open_services.add(part.service)
    part.runs += 1
    return send_attempt.SendAttempt(
        attempt_id,
        exchange.request,
        chosen,
        max(1, exchange.expires_ms - now_ms),
        exchange.route.gather is not None,
        max_idle_ms,
    )
