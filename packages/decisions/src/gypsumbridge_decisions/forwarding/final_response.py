"""The content of the final response to a caller."""

from gypsumbridge_decisions.forwarding import attempt_ended
from gypsumbridge_decisions.forwarding import caller_response
from gypsumbridge_decisions.forwarding import exchange as exchanges
from gypsumbridge_decisions.forwarding import part_state
from gypsumbridge_decisions.forwarding import refusing
from gypsumbridge_decisions.forwarding import retry_delay
from gypsumbridge_decisions.forwarding import sending

STATUS_OK = 200
STATUS_BAD_GATEWAY = 502
STATUS_TIMEOUT = 504
# With these reasons another node would refuse the request as well.
SEEN_BY_ALL_NODES = frozenset(
    {sending.NO_SEARCHER, sending.EVACUATED, sending.OUTSIDE_HOMES}
)


def success(exchange: exchanges.Exchange) -> caller_response.CallerResponse:
    """Return the merged parts, or the searcher's response unchanged."""
    call_id = exchange.request.call_id
    parts = [p for p in exchange.parts if p.answer is not None]
    answers = [p.answer for p in parts if p.answer is not None]
    if exchange.merged_records is None:
        return relay(call_id, answers[0])
    services = tuple(part.service for part in parts)
    return caller_response.CallerResponse(
        call_id,
        STATUS_OK,
        body=exchange.merged_records.body(),
        part_signatures=tuple(a.signature for a in answers),
        missing_parts=len(exchange.parts) - len(answers),
        part_services=services if exchange.partial else (),
        statements=tuple(exchange.statements),
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
    """Return an error response.

    Status 503 guarantees that the request was not run, so it is sent only
    if no searcher can have run it. A searcher's own server error other than
    503 is relayed unless the route gathers.
    """
    call_id = exchange.request.call_id
    if not any(may_have_run(part) for part in exchange.parts):
        return caller_response.CallerResponse(
            call_id,
            refusing.STATUS_UNAVAILABLE,
            retry_after_ms=retry_after_ms(exchange, now_ms),
        )
    failed = exchange.parts[0].failure
    if exchange.route.gather is None and failed is not None:
        if (
            failed.status != refusing.STATUS_UNAVAILABLE
            and failed.status >= 500
        ):
            return relay(call_id, failed)
    if now_ms >= exchange.expires_ms:
        return caller_response.CallerResponse(call_id, STATUS_TIMEOUT)
    return caller_response.CallerResponse(call_id, STATUS_BAD_GATEWAY)


def retry_after_ms(exchange: exchanges.Exchange, now_ms: int) -> int:
    """Return the delay after which a refused request may succeed.

    It is the longest one that the searchers of a part have stated, or the
    time for which a state that all nodes see alike is waited for.
    """
    delays = [
        part.usable_at_ms - now_ms
        for part in exchange.parts
        if part.usable_at_ms is not None
    ]
    if any(part.reason in SEEN_BY_ALL_NODES for part in exchange.parts):
        left_ms = exchange.expires_ms - now_ms
        delays.append(retry_delay.recovery_delay_ms(exchange.request, left_ms))
    if any(part.reason == sending.NO_ROOM for part in exchange.parts):
        # It is at most a third of the time left, which may be shorter.
        return max(delays, default=retry_delay.OTHER_NODE_MS)
    return max(retry_delay.OTHER_NODE_MS, *delays, 0)


def may_have_run(part: part_state.PartState) -> bool:
    """Return whether any searcher may have run the part."""
    return part.answer is not None or part.runs > 0
