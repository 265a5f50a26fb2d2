"""A request to a holder that has not ended yet."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Ask:
    """Sent at `sent_ms` to `holder_id`; without tokens it is a probe."""

    partition: int
    holder_id: str
    customer: str
    tokens: int
    sent_ms: int
