"""Turns attempts into requests, and responses into ends of attempts."""

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import end_to_end
from gypsumbridge_node.gateway import header_names
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import http_request

STATUS_MISDIRECTED = 421

Outcome = forwarding.AttemptOutcome
Ended = forwarding.AttemptEnded


def make_request(
    names: header_names.HeaderNames,
    order: forwarding.SendAttempt,
    remaining_ms: int,
) -> http_request.HttpRequest:
    """Return the request as the searcher gets it."""
    request = order.request
    own = (
        (names.request_id, request.request_id),
        (names.deadline_ms, str(remaining_ms)),
        (names.expected_searcher, order.searcher.searcher_id),
    )
    return http_request.HttpRequest(
        request.method, request.target, request.headers + own, request.body
    )


def classify(
    names: header_names.HeaderNames,
    order: forwarding.SendAttempt,
    reply: http_reply.HttpReply,
) -> Ended:
    """Return what a complete response says of the attempt."""
    not_run = reply.header(names.not_run) is not None
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
        end_to_end.end_to_end_headers(reply.headers),
        reply.body,
        reply.header(names.signature) or '',
        '' if outcome == Outcome.ANSWERED else f'status_{reply.status}',
    )
