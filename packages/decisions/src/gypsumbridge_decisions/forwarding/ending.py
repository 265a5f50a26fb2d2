"""Handling of the end of an attempt."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import attempt as attempts
from gypsumbridge_decisions.forwarding import attempt_ended
from gypsumbridge_decisions.forwarding import attempt_outcome
from gypsumbridge_decisions.forwarding import cancel_attempt
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import exchange as exchanges
from gypsumbridge_decisions.forwarding import finishing
from gypsumbridge_decisions.forwarding import part_state
from gypsumbridge_decisions.forwarding import searcher_health
from gypsumbridge_decisions.forwarding import sending
from gypsumbridge_decisions.forwarding import state as states
from gypsumbridge_decisions.forwarding import statements
from gypsumbridge_decisions.forwarding import waiting_for_room

_OUTCOME = attempt_outcome.AttemptOutcome
# A cancelled attempt that lasted this many times the median latency without a
# response counts as a failure, but not before `MIN_UNRESPONSIVE_MS`.
UNRESPONSIVE_FACTOR = 5
MIN_UNRESPONSIVE_MS = 300
# Statuses that a caller may interpret as a guarantee that nothing was run.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})


def handle_attempt_end(
    state: states.ForwardingState,
    ended: attempt_ended.AttemptEnded,
    now_ms: int,
) -> list[command.Command]:
    """Accept an answer, or retry the part where that is safe."""
    attempt = state.attempts.pop(ended.attempt_id, None)
    if attempt is None:
        return []
    exchange = state.exchanges.get(attempt.call_id)
    stated = record_end(state, attempt, ended, exchange, now_ms)
    if exchange is None:
        return stated
    part = exchange.part(attempt.service)
    part.running.discard(ended.attempt_id)
    if ended.outcome.is_certainly_not_run():
        part.runs -= 1
    if part.answer is not None:
        return stated
    if is_answer(exchange, ended):
        exchange.set_answer(part, ended)
        if exchange.merged_records is not None:
            exchange.merged_records.add(ended.body)
        commands = cancel_attempts(state, exchange, part)
    else:
        commands = handle_attempt_failure(
            state, exchange, part, attempt, ended, now_ms
        )
    if not part.is_open():
        exchange.open_services.discard(part.service)
    return stated + commands + finish_if_complete(state, exchange, now_ms)


def is_answer(
    exchange: exchanges.Exchange, ended: attempt_ended.AttemptEnded
) -> bool:
    """Return whether a response completes its part.

    A gathered part must be a signed success. On other routes a success must
    be signed as well; any other response is the searcher's answer unless it
    is a server error or its status suggests that nothing was run.
    """
    if ended.outcome != _OUTCOME.ANSWERED:
        return False
    success = 200 <= ended.status < 300
    if success or exchange.route.gather is not None:
        return success and bool(ended.signature)
    return ended.status < 500 and ended.status not in NOT_EXECUTED_STATUSES


def handle_attempt_failure(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    part: part_state.PartState,
    attempt: attempts.Attempt,
    ended: attempt_ended.AttemptEnded,
    now_ms: int,
) -> list[command.Command]:
    """Record a failed attempt, and retry it unless that might run it twice.

    Idempotent requests may run twice.
    """
    part.reason = ended.detail or ended.outcome.value
    if ended.outcome == _OUTCOME.ANSWERED:
        part.failure = ended
        part.reason = f'status_{ended.status}'
    sent: list[command.Command] = []
    waits = False
    may_repeat = exchange.route.idempotent or (
        ended.outcome.is_certainly_not_run() and not part.running
    )
    if may_repeat and state.controls_load():
        waits = waiting_for_room.wait_again(
            state,
            exchange,
            part,
            attempt.searcher.searcher_id,
            ended,
            now_ms,
        )
    elif may_repeat:
        sent = sending.send_extra_attempt(
            state,
            exchange,
            part,
            now_ms,
            charged=ended.outcome != _OUTCOME.NOT_SENT,
            # The cause of the lost connection may affect the idle ones, too.
            max_idle_ms=sending.NO_IDLE_MS
            if ended.outcome == _OUTCOME.LOST
            else None,
        )
    if sent or waits:
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


def cancel_attempts(
    state: states.ForwardingState,
    exchange: exchanges.Exchange,
    part: part_state.PartState,
) -> list[command.Command]:
    """Cancel the attempts that a part no longer needs."""
    commands: list[command.Command] = []
    for attempt_id in part.running:
        state.attempts[attempt_id].abandoned = True
        commands.append(
            cancel_attempt.CancelAttempt(attempt_id, finishing.CANCEL_GRACE_MS)
        )
    part.running.clear()
    waiting_for_room.stop_waiting(state, exchange, part)
    return commands


def finish_if_complete(
    state: states.ForwardingState, exchange: exchanges.Exchange, now_ms: int
) -> list[command.Command]:
    """Answer when no part is in flight, or when too few can be received.

    After the objective, the parts that have been received are enough if
    they reach the route's coverage.
    """
    if exchange.open_services and finishing.may_cover_enough(exchange):
        if not exchange.objective_passed:
            return []
        if not finishing.covers_enough(exchange):
            return []
    return finishing.finish(state, exchange, now_ms)


def record_end(
    state: states.ForwardingState,
    attempt: attempts.Attempt,
    ended: attempt_ended.AttemptEnded,
    exchange: exchanges.Exchange | None,
    now_ms: int,
) -> list[command.Command]:
    """Record what an attempt shows of its searcher, and what it states."""
    health = state.health.get(attempt.searcher.searcher_id)
    if health is None:
        return []
    health.in_flight -= 1
    state.room.record_change(attempt.service)
    if attempt.overdue:
        health.overdue -= 1
    if ended.outcome == _OUTCOME.MISDIRECTED:
        health.replaced = True
        return []
    stated = statements.record_statements(
        health, attempt, ended, exchange, now_ms
    )
    record_measurement(state, health, attempt, ended, now_ms)
    return stated


def record_measurement(
    state: states.ForwardingState,
    health: searcher_health.SearcherHealth,
    attempt: attempts.Attempt,
    ended: attempt_ended.AttemptEnded,
    now_ms: int,
) -> None:
    """Update the searcher's health and the route's latency window."""
    latency_ms = now_ms - attempt.sent_ms
    window = state.latencies.get(attempt.route_name)
    median_ms = window.median_ms if window is not None else latency_ms
    if state.controls_load() and window is not None:
        # Until a median is measured, no searcher is known to be slow or fast.
        # The expected completion would be far too early after that.
        median_ms = median_ms if window.is_measured() else latency_ms
    answered = ended.outcome == _OUTCOME.ANSWERED and ended.status < 500
    if window is not None and (answered or attempt.abandoned):
        # A cancelled attempt would have taken even longer. Without the slow
        # attempts, each hedge that they cause would lower the quantiles.
        window.add(latency_ms)
    if ended.outcome == _OUTCOME.NOT_RUN and state.controls_load():
        run_ms = median_ms * health.slowness
        health.record_rejection(run_ms / attempt.searcher.slots, now_ms)
        return
    if answered:
        health.record_answer(latency_ms / max(1.0, median_ms), now_ms)
        return
    unresponsive_ms = max(MIN_UNRESPONSIVE_MS, UNRESPONSIVE_FACTOR * median_ms)
    if attempt.abandoned and latency_ms < unresponsive_ms:
        return
    unreachable = ended.outcome == _OUTCOME.NOT_SENT
    if unreachable and health.evacuated:
        # This node itself kept the attempt from being sent.
        return
    health.record_failure(now_ms, unreachable)
