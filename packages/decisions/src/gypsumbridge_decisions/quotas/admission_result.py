"""Whether a request of a customer with a quota may run."""

import dataclasses
import enum


class AdmissionOutcome(enum.StrEnum):
    """`UNKNOWN` if no holder could tell whether the quota has room."""

    ADMITTED = 'admitted'
    OVER_QUOTA = 'over_quota'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class AdmissionResult:
    """Ends AdmissionRequest; the caller may repeat after `retry_after_ms`."""

    call_id: int
    outcome: AdmissionOutcome
    retry_after_ms: int = 0
