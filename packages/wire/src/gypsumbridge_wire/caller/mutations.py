"""JSON codec of mutations, lookups and resolutions."""

from typing import Any

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_wire import numbers
from gypsumbridge_wire.caller import decode
from gypsumbridge_wire.caller import mutation_body
from gypsumbridge_wire.caller import resolve_body

HTTP_OK = 200

_mutation_decoder = msgspec.json.Decoder(mutation_body.MutationBody)
_resolve_decoder = msgspec.json.Decoder(resolve_body.ResolveBody)


def decode_mutation(body: bytes, mutation_id: str) -> messages.Mutation:
    """Return the mutation in a body; raises RequestError with the problem."""
    decoded = decode.decode_body(_mutation_decoder, body)
    decode.check_deadline(decoded.deadline_ms)
    decode.check_names(
        decoded, ('service', 'shard', 'rank', 'request_id', 'caller')
    )
    check_key(decoded.idempotency_key)
    if not numbers.is_in_range(decoded.key_expires_at_ms):
        raise errors.RequestError(
            'key_expires_at_ms is out of range',
            'use Unix time in milliseconds',
        )
    return messages.Mutation(
        mutation_id=mutation_id,
        request_id=decoded.request_id or mutation_id,
        service=decoded.service,
        shard=decoded.shard,
        rank=decoded.rank,
        caller=decoded.caller,
        deadline_ms=decoded.deadline_ms,
        idempotency_key=decoded.idempotency_key,
        key_expires_at_ms=decoded.key_expires_at_ms,
        first_attempt=decoded.first_attempt,
        body=bytes(decoded.mutation),
    )


def make_lookup(key: str, lookup_id: str) -> messages.MutationLookup:
    """Return the lookup of a key; RequestError if the key is invalid."""
    check_key(key)
    return messages.MutationLookup(lookup_id, key)


def decode_resolve(
    body: bytes, key: str, lookup_id: str
) -> messages.MutationResolve:
    """Return an operator's resolution of a key; RequestError if invalid."""
    check_key(key)
    decoded = decode.decode_body(_resolve_decoder, body)
    if not 0 < len(decoded.operator) <= decode.MAX_NAME_LENGTH:
        raise errors.RequestError(
            f'operator has {len(decoded.operator)} characters',
            f'use 1 to {decode.MAX_NAME_LENGTH}',
        )
    outcome = messages.ClaimOutcome(decoded.outcome)
    return messages.MutationResolve(lookup_id, key, outcome, decoded.operator)


def check_key(key: str) -> None:
    """Raise RequestError unless a key suits HTTP headers and the store."""
    fits = 0 < len(key) <= decode.MAX_NAME_LENGTH
    if fits and key.isascii() and key.isprintable() and key == key.strip():
        return
    raise errors.RequestError(
        f'idempotency_key is {key[: decode.MAX_NAME_LENGTH]!r}',
        f'use 1 to {decode.MAX_NAME_LENGTH} printable ASCII characters'
        ' without a space at either end',
    )


def encode_mutation_answer(
    answer: messages.MutationAnswer,
) -> tuple[int, bytes]:
    """Return the HTTP status and the JSON body of an outcome."""
    body = {
        'request_id': answer.request_id,
        'mutation_id': answer.mutation_id,
        'idempotency_key': answer.idempotency_key,
        'status': 'recorded' if answer.recorded else 'answered',
        **_encode_claim(answer.claim),
    }
    return HTTP_OK, msgspec.json.encode(body)


def encode_claim_report(report: messages.ClaimReport) -> tuple[int, bytes]:
    """Return the HTTP status and the JSON body of a lookup or resolution."""
    body: dict[str, Any] = {
        'idempotency_key': report.idempotency_key,
        'status': 'recorded',
    }
    if report.claim is not None:
        body |= {
            'phase': report.claim.phase,
            'claimant': report.claim.claimant,
            'key_expires_at_ms': report.claim.key_expires_at_ms,
            **_encode_claim(report.claim),
        }
    return HTTP_OK, msgspec.json.encode(body)


def _encode_claim(claim: messages.Claim) -> dict[str, Any]:
    result = msgspec.Raw(claim.payload) if claim.payload else None
    return {
        'outcome': claim.outcome,
        'result': result,
        'result_omitted': claim.payload_omitted,
        'operator': claim.operator,
    }
