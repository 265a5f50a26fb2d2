"""Time bounds of the configuration protocol."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Bounds in milliseconds; the model check uses a few ticks instead.

    A proof of freshness is valid for `proof_lifetime_ms`. Acceptance uses
    no report older than `max_report_age_ms`, and a restarted node ignores
    votes from its first `max_report_age_ms`. Both uses must share one
    bound: otherwise a report from before a restart could still count for
    acceptance after the node has recovered without the reported change.
    """

    proof_lifetime_ms: int = 3_000
    # A report travels up three levels, across failure domains and down three
    # levels, at 500 ms a hop, with one retry.
    max_report_age_ms: int = 6_000
