"""Decodes replies of endpoints."""

from collections.abc import Mapping

import msgspec

from gypsumbridge_decisions import messages
from gypsumbridge_wire import decode_errors
from gypsumbridge_wire.endpoint import fields

_STATUS_BY_REASON = {
    'shed': messages.EndpointStatus.SHED,
    'draining': messages.EndpointStatus.DRAINING,
    'version_gone': messages.EndpointStatus.VERSION_GONE,
}
_raw_decoder = msgspec.json.Decoder(msgspec.Raw)


def decode_reply(
    request: messages.EndpointRequest,
    http_status: int,
    headers: Mapping[str, str],
    body: bytes,
) -> messages.EndpointReply:
    """Return the reply in an HTTP response.

    `headers` has lower-case names. A request counts as not run only when
    the endpoint reports so in a header.
    """
    executed = headers.get(fields.EXECUTED_HEADER.lower()) != (
        fields.EXECUTED_NO
    )
    reason = headers.get(fields.REASON_HEADER.lower(), '')
    status = _STATUS_BY_REASON.get(reason, messages.EndpointStatus.REFUSED)
    if http_status == 200:
        status = messages.EndpointStatus.OK
        executed = True
        if not _is_json(body):
            status = messages.EndpointStatus.INVALID
    state = headers.get(fields.STATE_HEADER.lower(), '')
    return messages.EndpointReply(
        call_id=request.call_id,
        endpoint=request.endpoint,
        status=status,
        executed=executed,
        shard=headers.get(fields.SHARD_HEADER.lower(), ''),
        version=headers.get(fields.VERSION_HEADER.lower(), ''),
        payload=body if status == messages.EndpointStatus.OK else b'',
        leaving=state == fields.STATE_LEAVING,
    )


def decode_health(
    check: messages.EndpointCheck, http_status: int, headers: Mapping[str, str]
) -> messages.EndpointHealth:
    """Return the health that an endpoint reports on a health check."""
    state = headers.get(fields.STATE_HEADER.lower(), '')
    serving = http_status == 200 and state == fields.STATE_SERVING
    return messages.EndpointHealth(check.endpoint, serving)


def make_failed_reply(
    request: messages.EndpointRequest,
    status: messages.EndpointStatus,
    executed: bool,
) -> messages.EndpointReply:
    """Return the reply for a request that got no HTTP response."""
    return messages.EndpointReply(
        call_id=request.call_id,
        endpoint=request.endpoint,
        status=status,
        executed=executed,
        shard='',
        version='',
        payload=b'',
        leaving=False,
    )


def _is_json(body: bytes) -> bool:
    try:
        # The raw decoder does not check for UTF-8, and one part that is not
        # UTF-8 would make the caller's whole response invalid.
        body.decode()
        _raw_decoder.decode(body)
    except decode_errors.DECODE_ERRORS:
        return False
    return True
