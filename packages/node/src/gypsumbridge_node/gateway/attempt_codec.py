"""Turns attempts into requests, and responses into ends of attempts."""

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import end_to_end
from gypsumbridge_node.gateway import header_names
from gypsumbridge_node.gateway import http_head
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import http_request

STATUS_MISDIRECTED = 421

Outcome = forwarding.AttemptOutcome
Ended = forwarding.AttemptEnded


def encode_shared_head(
    names: header_names.HeaderNames, request: forwarding.CallerRequest
) -> bytes:
    """Return the part of the head that all attempts of a request share."""
    own = ((names.request_id, request.request_id),)
    return http_head.encode_open_head(
        http_request.HttpRequest(
            request.method, request.target, request.headers + own, request.body
        ),
        request.host,
    )


def encode_attempt(
    names: header_names.HeaderNames,
    shared_head: bytes,
    order: forwarding.SendAttempt,
    remaining_ms: int,
) -> bytes:
    """Return the request as the searcher gets it."""
    own = (
        f'{names.deadline_ms}: {remaining_ms}\r\n'
        f'{names.expected_searcher}: {order.searcher.searcher_id}\r\n\r\n'
    )
    return shared_head + own.encode('latin-1') + order.request.body


def classify(
    names: header_names.HeaderNames,
    order: forwarding.SendAttempt,
    reply: http_reply.HttpReply,
) -> Ended:
    """Return what a complete response says of the attempt."""
    not_run = names.not_run in reply.headers.first
    outcome = Outcome.ANSWERED
    if reply.status == STATUS_MISDIRECTED:
        outcome = Outcome.MISDIRECTED
    elif not_run:
        outcome = Outcome.NOT_RUN
    elif order.framed_only and not reply.framed:
        outcome = Outcome.LOST
    return Ended(
        order.attempt_id,
        outcome,
        reply.status,
        # Those of a part are not relayed.
        ()
        if order.framed_only
        else end_to_end.end_to_end_headers(reply.headers.pairs),
        reply.body,
        reply.headers.first.get(names.signature, ''),
        '' if outcome == Outcome.ANSWERED else f'status_{reply.status}',
    )
