"""What a searcher states about itself in its answers."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import attempt as attempts
from gypsumbridge_decisions.forwarding import attempt_ended
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import exchange as exchanges
from gypsumbridge_decisions.forwarding import searcher_health

LEAVING = 'leaving'
RETRY_AFTER = 'retry_after'


def record_statements(
    health: searcher_health.SearcherHealth,
    attempt: attempts.Attempt,
    ended: attempt_ended.AttemptEnded,
    exchange: exchanges.Exchange | None,
    now_ms: int,
) -> list[command.Command]:
    """Record that a searcher leaves, or wants no requests for a time.

    The first statement that closes it for this node is logged with the
    request that was answered, which may be complete already.
    """
    closed_before = not health.may_be_sent_requests(now_ms)
    reason = ''
    if ended.retry_after_ms:
        health.record_refusal(ended.retry_after_ms, now_ms)
        reason = RETRY_AFTER
    if ended.leaving:
        health.leaving = True
        reason = LEAVING
    if not reason or closed_before:
        return []
    fields: dict[str, str | int | float] = {
        'searcher': attempt.searcher.searcher_id,
        'service': attempt.service,
        'status': ended.status,
    }
    if exchange is not None:
        fields['request_id'] = exchange.request.request_id
    if reason == RETRY_AFTER:
        fields['closed_for_ms'] = health.closed_until_ms - now_ms
    return [
        messages.Decision('searcher_closed', reason, fields),
        messages.Count(f'forwarding.searchers_closed.{reason}'),
    ]
