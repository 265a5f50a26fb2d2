"""The event of a mutation's timers."""

import dataclasses

from gypsumbridge_decisions.mutation import timer_kind


@dataclasses.dataclass(frozen=True)
class MutationTimer:
    """A timer of a running mutation has expired."""

    mutation_id: str
    kind: timer_kind.TimerKind
