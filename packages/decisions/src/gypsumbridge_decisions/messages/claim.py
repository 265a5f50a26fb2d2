"""The record of an idempotency key in the store."""

import dataclasses

from gypsumbridge_decisions.messages import claim_outcome
from gypsumbridge_decisions.messages import claim_phase


@dataclasses.dataclass(frozen=True)
class Claim:
    """Who claimed a key, for which request, and how it ended.

    `nonce` identifies one claim write. After `send_before_ms` (Unix time)
    the claimant sends nothing any more. `payload` is the endpoint's JSON
    reply, empty when it was left out for its size.
    """

    phase: claim_phase.ClaimPhase
    claimant: str
    nonce: str
    fingerprint: str
    key_expires_at_ms: int
    send_before_ms: int
    outcome: claim_outcome.ClaimOutcome = claim_outcome.ClaimOutcome.UNKNOWN
    payload: bytes = b''
    payload_omitted: bool = False
    operator: str = ''
