"""Final responses to callers."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import cancel_attempt
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import delegation_sending
from gypsumbridge_decisions.forwarding import exchange as exchanges
from gypsumbridge_decisions.forwarding import final_response
from gypsumbridge_decisions.forwarding import objective_timer
from gypsumbridge_decisions.forwarding import response_written
from gypsumbridge_decisions.forwarding import state as states
from gypsumbridge_decisions.forwarding import waiting_for_room

# The weight of the latest timer in the average lag.
LAG_WEIGHT = 0.1
# The other parts of a request may make up for this share of those of a group.
PARTIAL_MARGIN = 0.1
# The connection of a cancelled attempt can be reused if its response arrives
# within this time. Searchers pause for up to 200 ms.
CANCEL_GRACE_MS = 350


def coverage(exchange: exchanges.Exchange) -> float:
    """Return the share of the parts that were received, from 0 to 1."""
    return exchange.answered / len(exchange.parts)


def covers_enough(exchange: exchanges.Exchange) -> bool:
    """Return whether the parts received so far make a successful response."""
    rule = exchange.route.gather
    if rule is None:
        return exchange.parts[0].answer is not None
    share = coverage(exchange)
    least = rule.min_coverage
    if exchange.partial:
        least = least - PARTIAL_MARGIN if exchange.open_services else 0.0
    return share > 0 and share >= least


def may_cover_enough(exchange: exchanges.Exchange) -> bool:
    """Return whether the parts in flight can make a successful response.

    If not, the caller is better off with an early failure, which leaves it
    time for another attempt.
    """
    rule = exchange.route.gather
    if rule is None or exchange.partial:
        return True
    possible = exchange.answered + len(exchange.open_services)
    return possible / len(exchange.parts) >= rule.min_coverage


def handle_objective_timer(
    state: states.ForwardingState,
    timer: objective_timer.ObjectiveTimer,
    now_ms: int,
) -> list[command.Command]:
    """Answer a gather with the parts received, if they cover enough.

    Otherwise it is answered as soon as they do.
    """
    record_lag(state, timer.due_ms, now_ms)
    exchange = state.exchanges.get(timer.call_id)
    if exchange is None:
        return []
    exchange.objective_passed = True
    if not covers_enough(exchange):
        return []
    return finish(state, exchange, now_ms, timer.due_ms)


def record_lag(
    state: states.ForwardingState, due_ms: int, now_ms: int
) -> None:
    """Record how late a timer is handled."""
    lag_ms = max(0, now_ms - due_ms)
    state.timer_lag_ms += LAG_WEIGHT * (lag_ms - state.timer_lag_ms)
    state.timer_lag_at_ms = now_ms


def record_answer_delay(
    state: states.ForwardingState, written: response_written.ResponseWritten
) -> list[command.Command]:
    """Add the measured delay of a response to its route's estimate."""
    found = state.answer_delays.get(written.route)
    if found is not None:
        found.add(written.late_ms)
    return []


def expire(
    state: states.ForwardingState, call_id: int, now_ms: int
) -> list[command.Command]:
    """Send the final response of a request that has expired."""
    exchange = state.exchanges.get(call_id)
    if exchange is None:
        return []
    return finish(state, exchange, now_ms)


def handle_disconnect(
    state: states.ForwardingState, call_id: int, now_ms: int
) -> list[command.Command]:
    """Cancel the request of a caller that disconnected."""
    exchange = state.exchanges.pop(call_id, None)
    if exchange is None:
        return []
    commands = [
        *cancel_all(state, exchange, 0),
        *delegation_sending.cancel_groups(state, exchange),
    ]
    request_id = exchange.request.request_id
    fields: dict[str, str | int | float] = {
        'request_id': request_id,
        'after_ms': now_ms - exchange.request.arrived_ms,
    }
    commands.append(messages.Decision('caller_gone', 'closed', fields))
    commands.append(messages.Count('forwarding.callers_gone'))
    return commands


def finish(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    now_ms: int,
    due_ms: int | None = None,
) -> list[command.Command]:
    """Answer the caller and cancel the attempts in flight.

    A response triggered by the objective timer was due at `due_ms`; the
    delay until it is written is measured.
    """
    del state.exchanges[exchange.request.call_id]
    cancelled: list[command.Command] = []
    if covers_enough(exchange):
        response = final_response.success(exchange)
    else:
        response = final_response.failure(exchange, now_ms)
        cancelled = delegation_sending.cancel_groups(state, exchange)
    if due_ms is not None:
        response = dataclasses.replace(
            response, objective_route=exchange.route.name, due_ms=due_ms
        )
    fields = describe(exchange, response.status, now_ms)
    missing = sum(1 for part in exchange.parts if part.answer is None)
    reason = 'answered' if response.status < 500 else 'failed'
    rank = exchange.rank
    return [
        response,
        *cancel_all(state, exchange, CANCEL_GRACE_MS),
        *cancelled,
        messages.Decision('request_finished', reason, fields),
        messages.Count(f'forwarding.finished.{response.status}'),
        messages.Count(f'forwarding.rank_{rank}.{response.status}'),
        messages.Count('forwarding.missing_parts', missing),
        messages.Observe(
            f'forwarding.latency.rank_{rank}',
            now_ms - exchange.request.arrived_ms,
        ),
    ]


def describe(
    exchange: exchanges.Exchange, status: int, now_ms: int
) -> dict[str, str | int | float]:
    """Return the fields of the log line of a finished request."""
    fields: dict[str, str | int | float] = {
        'request_id': exchange.request.request_id,
        'route': exchange.route.name,
        'version': exchange.version,
        'status': status,
        'after_ms': now_ms - exchange.request.arrived_ms,
        'parts': len(exchange.parts),
        'hedges': exchange.hedges,
        'groups': len(exchange.groups),
    }
    if exchange.request.customer:
        fields['customer'] = exchange.request.customer
    # The parts of a gather that was refused were not sent.
    without_reason = 'running' if exchange.is_sent() else ''
    reasons = {
        part.service: part.reason or without_reason
        for part in exchange.parts
        if part.answer is None
    }
    missing = [f'{name}:{why}' for name, why in reasons.items() if why]
    if missing:
        fields['missing'] = ','.join(missing)
    return fields


def cancel_all(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    grace_ms: int,
) -> list[command.Command]:
    """Cancel every attempt of a request.

    Without a grace period the ends of the attempts are not reported, so the
    searchers' counters are updated here.
    """
    commands: list[command.Command] = []
    for part in exchange.parts:
        waiting_for_room.stop_waiting(state, exchange, part)
        for attempt_id in part.running:
            commands.append(cancel_attempt.CancelAttempt(attempt_id, grace_ms))
            if grace_ms:
                state.attempts[attempt_id].abandoned = True
                continue
            attempt = state.attempts.pop(attempt_id)
            health = state.health[attempt.searcher.searcher_id]
            health.in_flight -= 1
            state.room.record_change(attempt.service)
            if attempt.overdue:
                health.overdue -= 1
        part.running.clear()
    return commands
