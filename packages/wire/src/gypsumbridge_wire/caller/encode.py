"""Encodes the responses to callers."""

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504

_STATUS_BY_CODE = {
    'bad_request': HTTP_BAD_REQUEST,
    'unknown_service': 404,
    'unknown_rank': 404,
    'method_not_allowed': 405,
    'too_large': 413,
    'conflict': 409,
    'claim_in_use': 409,
    'unknown_shard': 404,
    'unknown_key': 404,
    'key_expired': 410,
    'key_expiry_too_late': HTTP_BAD_REQUEST,
    'deadline': HTTP_GATEWAY_TIMEOUT,
    'insufficient_coverage': HTTP_GATEWAY_TIMEOUT,
}


def encode_answer(answer: messages.Answer) -> tuple[int, bytes]:
    """Return the HTTP status and the JSON body of an answer."""
    body = {
        'request_id': answer.request_id,
        'query_id': answer.query_id,
        'status': 'answered',
        'service': answer.service,
        'snapshot': answer.snapshot,
        'coverage': answer.coverage,
        'covered': [part.shard for part in answer.parts],
        'missing': _encode_missing(answer.missing),
        'results': [
            {'shard': part.shard, 'result': msgspec.Raw(part.payload)}
            for part in answer.parts
        ],
        'attempts': answer.attempts,
        'elapsed_ms': answer.elapsed_ms,
    }
    return HTTP_OK, msgspec.json.encode(body)


def encode_refusal(refusal: messages.Refusal) -> tuple[int, bytes]:
    """Return the HTTP status and the JSON body of a refusal."""
    body = {
        'request_id': refusal.request_id,
        'query_id': refusal.query_id,
        'status': 'refused',
        'run_state': refusal.run_state,
        'code': refusal.code,
        'message': refusal.message,
        'remedy': refusal.remedy,
        'missing': _encode_missing(refusal.missing),
    }
    if refusal.idempotency_key:
        body['idempotency_key'] = refusal.idempotency_key
    status = _STATUS_BY_CODE.get(refusal.code, HTTP_UNAVAILABLE)
    return status, msgspec.json.encode(body)


def make_refusal(
    error: errors.GypsumbridgeError, query_id: str
) -> messages.Refusal:
    """Return the refusal of a request that failed before planning."""
    return messages.Refusal(
        query_id=query_id,
        request_id='',
        code=error.code,
        run_state=messages.RunState.NOT_RUN,
        message=error.message,
        remedy=error.remedy,
    )


def _encode_missing(
    missing: tuple[messages.MissingShard, ...],
) -> list[dict[str, str]]:
    return [
        {'shard': shard.shard, 'reason': str(shard.reason)}
        for shard in missing
    ]
