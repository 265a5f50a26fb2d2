"""One partition of all quotas, as this node knows it."""

from gypsumbridge_decisions.quotas import holding as holdings
from gypsumbridge_decisions.quotas import token_bucket


class PartitionState:
    """The holder of a partition and, at the holder, its buckets.

    `holder_id` is the last known holder, also of an older era; empty if none
    was ever known. `silent_since_ms` is when the holder last answered a probe
    of this node, or when there was another reason to wait for it. `lapsed` is
    set while the proof of a holder is too old, and `writing` while a write of
    the entry has not ended or the copy does not have its result yet.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.holding = holdings.Holding()
        self.holder_id = ''
        self.silent_since_ms: int | None = None
        self.buckets: dict[str, token_bucket.TokenBucket] = {}
        self.lapsed = False
        self.writing = False
