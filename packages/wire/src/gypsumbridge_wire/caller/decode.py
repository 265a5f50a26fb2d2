"""Decodes the requests of callers."""

from typing import Any

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_wire import decode_errors
from gypsumbridge_wire.caller import query_body

MAX_NAME_LENGTH = 256
MAX_DEADLINE_MS = 60_000

_query_decoder = msgspec.json.Decoder(query_body.QueryBody)


def decode_query(
    body: bytes, query_id: str, max_deadline_ms: int = MAX_DEADLINE_MS
) -> messages.Query:
    """Return the query in a body; raises RequestError with the problem."""
    decoded = decode_body(_query_decoder, body)
    check_deadline(decoded.deadline_ms, max_deadline_ms)
    check_names(decoded, ('service', 'rank', 'request_id', 'caller'))
    return messages.Query(
        query_id=query_id,
        request_id=decoded.request_id or query_id,
        service=decoded.service,
        rank=decoded.rank,
        caller=decoded.caller,
        deadline_ms=decoded.deadline_ms,
        body=bytes(decoded.query),
    )


def decode_body(decoder: msgspec.json.Decoder[Any], body: bytes) -> Any:
    """Return the decoded body or raise RequestError."""
    try:
        # The decoder does not check the part that is forwarded undecoded, so
        # invalid UTF-8 there would reach the endpoints.
        body.decode()
        return decoder.decode(body)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.RequestError(
            f'the body is not valid: {error}',
            'send a JSON object with the documented fields',
        ) from error


def check_deadline(
    deadline_ms: int, max_deadline_ms: int = MAX_DEADLINE_MS
) -> None:
    """Raise RequestError unless the deadline is valid."""
    if 0 < deadline_ms <= max_deadline_ms:
        return
    raise errors.RequestError(
        f'deadline_ms is {deadline_ms}',
        f'use 1 to {max_deadline_ms} milliseconds',
    )


def check_names(body: Any, fields: tuple[str, ...]) -> None:
    """Raise RequestError if a name is too long to be logged."""
    for field in fields:
        value = getattr(body, field)
        if len(value) <= MAX_NAME_LENGTH:
            continue
        raise errors.RequestError(
            f'{field} has {len(value)} characters',
            f'use at most {MAX_NAME_LENGTH}',
        )
