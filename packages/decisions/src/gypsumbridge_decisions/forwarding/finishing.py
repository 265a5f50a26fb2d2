"""Final responses to callers."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import attempt_ended
from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import caller_response
from gypsumbridge_decisions.forwarding import cancel_attempt
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import exchange as exchanges
from gypsumbridge_decisions.forwarding import merge
from gypsumbridge_decisions.forwarding import objective_timer
from gypsumbridge_decisions.forwarding import part_state
from gypsumbridge_decisions.forwarding import response_written
from gypsumbridge_decisions.forwarding import state as states

STATUS_OK = 200
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
# How soon a caller may try again after a refusal, at another node.
RETRY_AFTER_MS = 50
# The weight of the last timer in the average lag.
LAG_WEIGHT = 0.1
# A response that is no longer needed is read for this long, which keeps the
# connection. Searchers pause for up to 200 ms.
LINGER_MS = 350


def refuse(
    request: caller_request.CallerRequest, reason: str
) -> list[command.Command]:
    """Refuse a request of which nothing was sent to any searcher."""
    return [
        caller_response.CallerResponse(
            request.call_id,
            STATUS_UNAVAILABLE,
            retry_after_ms=RETRY_AFTER_MS,
        ),
        messages.Decision(
            'request_refused', reason, {'request_id': request.request_id}
        ),
        messages.Count(f'forwarding.refused.{reason}'),
    ]


def reject(
    request: caller_request.CallerRequest, status: int, reason: str
) -> list[command.Command]:
    """Reject a request that should not be repeated as it is."""
    return [
        caller_response.CallerResponse(request.call_id, status),
        messages.Decision(
            'request_rejected',
            reason,
            {
                'request_id': request.request_id,
                'host': request.host,
                'target': request.target,
            },
        ),
        messages.Count(f'forwarding.rejected.{reason}'),
    ]


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
        response = success(exchange)
    else:
        response = failure(exchange, now_ms)
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


def success(exchange: exchanges.Exchange) -> caller_response.CallerResponse:
    """Return the merged parts, or the searcher's own response."""
    call_id = exchange.request.call_id
    answers = [p.answer for p in exchange.parts if p.answer is not None]
    rule = exchange.route.gather
    if rule is None:
        return relay(call_id, answers[0])
    return caller_response.CallerResponse(
        call_id,
        STATUS_OK,
        body=merge.greatest_records((a.body for a in answers), rule.top_k),
        part_signatures=tuple(a.signature for a in answers),
        missing_parts=len(exchange.parts) - len(answers),
    )


def relay(
    call_id: int, answer: attempt_ended.AttemptEnded
) -> caller_response.CallerResponse:
    """Return a searcher's response unchanged."""
    return caller_response.CallerResponse(
        call_id, answer.status, answer.headers, answer.body
    )


def failure(
    exchange: exchanges.Exchange, now_ms: int
) -> caller_response.CallerResponse:
    """Return why the request was not served.

    Only a request that no searcher can have run is refused with 503, which
    promises just that. A searcher's own server error is relayed when the
    route has a single target and the status promises nothing.
    """
    call_id = exchange.request.call_id
    if not any(may_have_run(part) for part in exchange.parts):
        return caller_response.CallerResponse(
            call_id, STATUS_UNAVAILABLE, retry_after_ms=RETRY_AFTER_MS
        )
    failed = exchange.parts[0].failure
    if exchange.route.gather is None and failed is not None:
        if failed.status != STATUS_UNAVAILABLE and failed.status >= 500:
            return relay(call_id, failed)
    if now_ms >= exchange.expires_ms:
        return caller_response.CallerResponse(call_id, STATUS_TIMEOUT)
    return caller_response.CallerResponse(call_id, STATUS_BAD_GATEWAY)


def may_have_run(part: part_state.PartState) -> bool:
    """Return whether some searcher may have run the part."""
    return part.answer is not None or part.runs > 0


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
