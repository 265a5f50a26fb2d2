"""Encodes attempts as requests, and classifies their responses."""

import re

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import answer_check
from gypsumbridge_node.gateway import end_to_end
from gypsumbridge_node.gateway import header_names
from gypsumbridge_node.gateway import http_head
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import http_request

# Too many requests, and service unavailable.
BUSY_STATUSES = frozenset({429, 503})
_SECONDS = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')

Outcome = forwarding.AttemptOutcome
Ended = forwarding.AttemptEnded


def encode_shared_head(
    names: header_names.HeaderNames, request: forwarding.CallerRequest
) -> bytes:
    """Return the part of the head that all attempts of a request share.

    `encode_attempt` appends the headers of the attempt.
    """
    own = ((names.request_id, request.request_id),)
    if request.customer:
        own += ((names.customer, request.customer),)
    return http_head.encode_open_head(
        http_request.HttpRequest(
            request.method, request.target, request.headers + own, request.body
        ),
        request.host,
    )


def encode_attempt(
    names: header_names.HeaderNames,
    shared_head: bytes,
    command: forwarding.SendAttempt,
    remaining_ms: int,
) -> bytes:
    """Return the bytes of the request that is sent to the searcher."""
    own = (
        f'{names.deadline_ms}: {remaining_ms}\r\n'
        f'{names.expected_searcher}: {command.searcher.searcher_id}\r\n\r\n'
    )
    return shared_head + own.encode('latin-1') + command.request.body


def classify(
    names: header_names.HeaderNames,
    command: forwarding.SendAttempt,
    reply: http_reply.HttpReply,
) -> Ended:
    """Return the result of an attempt that got a complete response.

    After a response that no searcher sends, the request may have run.
    """
    fault = answer_check.find_fault(names, command, reply)
    if fault:
        return Ended(command.attempt_id, Outcome.LOST, detail=fault)
    not_run = names.not_run in reply.headers.first
    outcome = Outcome.ANSWERED
    if reply.status == answer_check.STATUS_MISDIRECTED:
        outcome = Outcome.MISDIRECTED
    elif not_run:
        outcome = Outcome.NOT_RUN
    elif command.framed_only and not reply.framed:
        return Ended(command.attempt_id, Outcome.LOST, detail='unframed')
    return Ended(
        command.attempt_id,
        outcome,
        reply.status,
        relayed_headers(command, reply),
        reply.body,
        reply.headers.first.get(names.signature, ''),
        '' if outcome == Outcome.ANSWERED else f'status_{reply.status}',
        leaving=names.leaving in reply.headers.first,
        retry_after_ms=_retry_after_ms(names, reply),
    )


def relayed_headers(
    command: forwarding.SendAttempt, reply: http_reply.HttpReply
) -> tuple[tuple[str, str], ...]:
    """Return the headers of a response that the caller gets.

    Those of a gathered part are not relayed. The length that a response to
    HEAD states is that of the body which GET would return.
    """
    if command.framed_only:
        return ()
    found = end_to_end.end_to_end_headers(reply.headers.pairs)
    length = reply.headers.first.get(http_head.CONTENT_LENGTH)
    if command.request.method == 'HEAD' and length is not None:
        return (*found, (http_head.CONTENT_LENGTH, length))
    return found


def _retry_after_ms(
    names: header_names.HeaderNames, reply: http_reply.HttpReply
) -> int:
    """Return the stated time without requests, or 0.

    A date in place of seconds is not evaluated.
    """
    if reply.status not in BUSY_STATUSES:
        return 0
    value = reply.headers.first.get(names.retry_after, '').strip()
    if _SECONDS.fullmatch(value) is None:
        return 0
    return int(float(value) * 1000)
