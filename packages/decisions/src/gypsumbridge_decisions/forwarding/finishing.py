"""Final responses to callers."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import cancel_attempt
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import exchange as exchanges
from gypsumbridge_decisions.forwarding import final_response
from gypsumbridge_decisions.forwarding import objective_timer
from gypsumbridge_decisions.forwarding import response_written
from gypsumbridge_decisions.forwarding import state as states

# The weight of the last timer in the average lag.
LAG_WEIGHT = 0.1
# A response that is no longer needed is read for this long, which keeps the
# connection. Searchers pause for up to 200 ms.
LINGER_MS = 350


def coverage(exchange: exchanges.Exchange) -> float:
    """Return the share of the parts that are in, from 0 to 1."""
    answered = sum(1 for part in exchange.parts if part.answer is not None)
    return answered / len(exchange.parts)


def covers_enough(exchange: exchanges.Exchange) -> bool:
    """Return whether a gathered response would be a success."""
    rule = exchange.route.gather
    if rule is None:
        return exchange.parts[0].answer is not None
    share = coverage(exchange)
    return share > 0 and share >= rule.min_coverage


def pass_objective(
    state: states.ForwardingState,
    timer: objective_timer.ObjectiveTimer,
    now_ms: int,
) -> list[command.Command]:
    """Answer with what is in, or as soon as enough is."""
    lag_ms = max(0, now_ms - timer.due_ms)
    state.timer_lag_ms += LAG_WEIGHT * (lag_ms - state.timer_lag_ms)
    exchange = state.exchanges.get(timer.call_id)
    if exchange is None:
        return []
    exchange.objective_passed = True
    if not covers_enough(exchange):
        return []
    return finish(state, exchange, now_ms, timer.due_ms)


def measure_delay(
    state: states.ForwardingState, written: response_written.ResponseWritten
) -> list[command.Command]:
    """Count how long a response took."""
    found = state.answer_delays.get(written.route)
    if found is not None:
        found.add(written.late_ms)
    return []


def expire(
    state: states.ForwardingState, call_id: int, now_ms: int
) -> list[command.Command]:
    """Give the final response of a request whose time is up."""
    exchange = state.exchanges.get(call_id)
    if exchange is None:
        return []
    return finish(state, exchange, now_ms)


def drop(
    state: states.ForwardingState, call_id: int, now_ms: int
) -> list[command.Command]:
    """Stop the work for a caller that left."""
    exchange = state.exchanges.pop(call_id, None)
    if exchange is None:
        return []
    commands = cancel_all(state, exchange, 0)
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
    """Answer the caller and give up what is still out.

    A response to the route's objective was due at `due_ms`; how much later
    it is written is measured.
    """
    del state.exchanges[exchange.request.call_id]
    if covers_enough(exchange):
        response = final_response.success(exchange)
    else:
        response = final_response.failure(exchange, now_ms)
    if due_ms is not None:
        response = dataclasses.replace(
            response, objective_route=exchange.route.name, due_ms=due_ms
        )
    missing = [p for p in exchange.parts if p.answer is None]
    fields: dict[str, str | int | float] = {
        'request_id': exchange.request.request_id,
        'route': exchange.route.name,
        'version': exchange.version,
        'status': response.status,
        'after_ms': now_ms - exchange.request.arrived_ms,
        'parts': len(exchange.parts),
        'hedges': exchange.hedges,
    }
    if missing:
        fields['missing'] = ','.join(
            f'{p.service}:{p.reason or "running"}' for p in missing
        )
    reason = 'answered' if response.status < 500 else 'failed'
    rank = exchange.route.rank
    return [
        response,
        *cancel_all(state, exchange, LINGER_MS),
        messages.Decision('request_finished', reason, fields),
        messages.Count(f'forwarding.finished.{response.status}'),
        messages.Count(f'forwarding.rank_{rank}.{response.status}'),
        messages.Count('forwarding.missing_parts', len(missing)),
        messages.Observe(
            f'forwarding.latency.rank_{rank}',
            now_ms - exchange.request.arrived_ms,
        ),
    ]


def cancel_all(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    linger_ms: int,
) -> list[command.Command]:
    """Give up every attempt of a request.

    With no linger their ends are not reported, so the searchers' state is
    settled here.
    """
    commands: list[command.Command] = []
    for part in exchange.parts:
        for attempt_id in part.running:
            commands.append(
                cancel_attempt.CancelAttempt(attempt_id, linger_ms)
            )
            if linger_ms:
                state.attempts[attempt_id].abandoned = True
                continue
            attempt = state.attempts.pop(attempt_id)
            health = state.health[attempt.searcher.searcher_id]
            health.in_flight -= 1
            if attempt.overdue:
                health.overdue -= 1
        part.running.clear()
    return commands
