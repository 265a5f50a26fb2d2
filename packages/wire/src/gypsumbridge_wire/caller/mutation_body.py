"""The JSON body of a mutation."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True)
class MutationBody:
    """A mutation; the field `mutation` is sent to one endpoint unchanged."""

    service: str
    shard: str
    rank: str
    mutation: msgspec.Raw
    deadline_ms: int
    idempotency_key: str
    key_expires_at_ms: int
    first_attempt: bool = False
    request_id: str = ''
    caller: str = 'anonymous'
