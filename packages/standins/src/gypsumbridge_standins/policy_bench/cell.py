"""Results of one rank in one window."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Cell:
    """Results of a rank's queries that were due in one window.

    `in_target` counts answers with full coverage within the rank's target
    latency, `full` those with full coverage at any latency. `lost` queries
    were at a node that died. `useful_ms` is the slot time of the parts in
    answers. `others_offered` and `others_answered` count the queries of
    callers that do not flood. `refusal_share` is the 99th percentile of the
    time to a refusal as a share of the deadline.
    """

    offered: int
    answered: int
    full: int
    in_target: int
    not_run: int
    unknown: int
    lost: int
    useful_ms: int
    others_offered: int
    others_answered: int
    p50_ms: float
    p99_ms: float
    refusal_share: float
