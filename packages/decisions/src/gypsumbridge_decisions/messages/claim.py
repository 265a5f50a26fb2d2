"""The record of an idempotency key in the store."""

import dataclasses

from gypsumbridge_decisions.messages import claim_outcome
from gypsumbridge_decisions.messages import claim_phase


@dataclasses.dataclass(frozen=True)
class Claim:
    """The claimant of a key, its request and the outcome.

    `nonce` identifies one claim write. The claimant does not send the
    mutation after `send_before_ms` (Unix time). `payload` is the endpoint's
    JSON reply; it is empty if it was too large to record.
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
