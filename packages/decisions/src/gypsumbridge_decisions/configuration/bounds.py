"""Time bounds of the configuration protocol."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Milliseconds; the model check uses small numbers of ticks.

    A proof of freshness holds for `fresh_ms`. Acceptance uses no report
    older than `evidence_ms`, and a restarted node uses no vote from its
    first `evidence_ms`. The two are one bound: together they exclude that
    a report from before a restart counts beside a recovery that missed it.
    """

    fresh_ms: int = 3_000
    # Covers the way of a report up three levels, across failure domains and
    # down three levels, at 500 ms a hop, with one repeat.
    evidence_ms: int = 6_000
