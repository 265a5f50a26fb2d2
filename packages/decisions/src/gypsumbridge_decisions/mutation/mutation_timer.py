"""Event of a mutation's timers."""

import dataclasses

from gypsumbridge_decisions.mutation import timer_kind


@dataclasses.dataclass(frozen=True)
class MutationTimer:
    """A time of a running mutation that has come."""

    mutation_id: str
    kind: timer_kind.TimerKind
