"""What follows from the end of an attempt."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import attempt as attempts
from gypsumbridge_decisions.forwarding import attempt_ended
from gypsumbridge_decisions.forwarding import attempt_outcome
from gypsumbridge_decisions.forwarding import cancel_attempt
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import exchange as exchanges
from gypsumbridge_decisions.forwarding import finishing
from gypsumbridge_decisions.forwarding import part_state
from gypsumbridge_decisions.forwarding import sending
from gypsumbridge_decisions.forwarding import state as states

_OUTCOME = attempt_outcome.AttemptOutcome
# An attempt that lasted this many times the usual latency without a response
# counts as a failure, and not before `MIN_SILENCE_MS`.
SILENCE_FACTOR = 5
MIN_SILENCE_MS = 300
# Statuses that a caller may take for a promise that nothing was run.
PROMISES = frozenset({408, 421, 429, 503})


def end_attempt(
    state: states.ForwardingState,
    ended: attempt_ended.AttemptEnded,
    now_ms: int,
) -> list[command.Command]:
    """Take an answer, or send the part again where that is safe."""
    attempt = state.attempts.pop(ended.attempt_id, None)
    if attempt is None:
        return []
    exchange = state.exchanges.get(attempt.call_id)
    measure(state, attempt, ended, exchange, now_ms)
    if exchange is None:
        return []
    part = exchange.part(attempt.service)
    part.running.discard(ended.attempt_id)
    if ended.outcome.is_unrun():
        part.runs -= 1
    if part.answer is not None:
        return []
    if is_answer(exchange, ended):
        part.answer = ended
        if exchange.top is not None:
            exchange.top.add(ended.body)
        commands = cancel_running(state, part)
    else:
        commands = fail(state, exchange, part, attempt, ended, now_ms)
    if not part.is_open():
        exchange.open_services.discard(part.service)
    return commands + finish_if_complete(state, exchange, now_ms)


def is_answer(
    exchange: exchanges.Exchange, ended: attempt_ended.AttemptEnded
) -> bool:
    """Return whether a response completes its part.

    A gathered part must be a signed success. Any other response is the
    searcher's answer unless it is a server error or a promise that the
    request was not run.
    """
    if ended.outcome != _OUTCOME.ANSWERED:
        return False
    success = 200 <= ended.status < 300
    if success or exchange.route.gather is not None:
        return success and bool(ended.signature)
    return ended.status < 500 and ended.status not in PROMISES


def fail(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    part: part_state.PartState,
    attempt: attempts.Attempt,
    ended: attempt_ended.AttemptEnded,
    now_ms: int,
) -> list[command.Command]:
    """Record a failed attempt and retry it where it cannot run twice."""
    part.reason = ended.detail or ended.outcome.value
    if ended.outcome == _OUTCOME.ANSWERED:
        part.failure = ended
        part.reason = f'status_{ended.status}'
    sent: list[command.Command] = []
    if exchange.route.idempotent or (
        ended.outcome.is_unrun() and not part.running
    ):
        sent = sending.send_extra(
            state,
            exchange,
            part,
            now_ms,
            charged=ended.outcome != _OUTCOME.NOT_SENT,
            # What ended this connection may have ended the idle ones, too.
            max_idle_ms=sending.NO_IDLE_MS
            if ended.outcome == _OUTCOME.LOST
            else None,
        )
    if sent:
        sent.append(messages.Count('forwarding.retries'))
    return [
        messages.Decision(
            'attempt_failed',
            part.reason,
            {
                'request_id': exchange.request.request_id,
                'service': part.service,
                'searcher': attempt.searcher.searcher_id,
                'outcome': ended.outcome.value,
                'after_ms': now_ms - attempt.sent_ms,
                'retried': len(sent) > 0,
            },
        ),
        messages.Count(f'forwarding.failed.{ended.outcome}'),
        *sent,
    ]


def cancel_running(
    state: states.ForwardingState, part: part_state.PartState
) -> list[command.Command]:
    """Give up the attempts that a part no longer needs."""
    commands: list[command.Command] = []
    for attempt_id in part.running:
        state.attempts[attempt_id].abandoned = True
        commands.append(
            cancel_attempt.CancelAttempt(attempt_id, finishing.LINGER_MS)
        )
    part.running.clear()
    return commands


def finish_if_complete(
    state: states.ForwardingState, exchange: exchanges.Exchange, now_ms: int
) -> list[command.Command]:
    """Answer when nothing is out, or when enough is in and time is up."""
    if exchange.open_services:
        if not exchange.objective_passed:
            return []
        if not finishing.covers_enough(exchange):
            return []
    return finishing.finish(state, exchange, now_ms)


def measure(
    state: states.ForwardingState,
    attempt: attempts.Attempt,
    ended: attempt_ended.AttemptEnded,
    exchange: exchanges.Exchange | None,
    now_ms: int,
) -> None:
    """Update what is known of the searcher and the route's latency."""
    health = state.health.get(attempt.searcher.searcher_id)
    if health is None:
        return
    health.in_flight -= 1
    if attempt.overdue:
        health.overdue -= 1
    if ended.outcome == _OUTCOME.MISDIRECTED:
        health.replaced = True
        return
    latency_ms = now_ms - attempt.sent_ms
    window = state.latencies.get(attempt.route_name)
    usual_ms = window.median_ms if window is not None else latency_ms
    answered = ended.outcome == _OUTCOME.ANSWERED and ended.status < 500
    if window is not None and (answered or attempt.abandoned):
        # One that was given up would have taken longer still. Without the
        # slow ones the quantiles fall with each hedge that they cause.
        window.add(latency_ms)
    if answered:
        health.record_answer(latency_ms / max(1.0, usual_ms), now_ms)
        return
    silent_ms = max(MIN_SILENCE_MS, SILENCE_FACTOR * usual_ms)
    if attempt.abandoned and latency_ms < silent_ms:
        return
    unreachable = ended.outcome == _OUTCOME.NOT_SENT
    health.record_failure(now_ms, unreachable)
