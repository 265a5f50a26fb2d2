"""A request of a customer with a quota."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AdmissionRequest:
    """Asks whether a request may run; answered by AdmissionResult.

    The caller waits for `left_ms` at most.
    """

    call_id: int
    request_id: str
    customer: str
    left_ms: int
