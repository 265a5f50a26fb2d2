"""One model with what the search is expected to find."""

from collections.abc import Callable
import dataclasses

import minicheck


@dataclasses.dataclass(frozen=True)
class Check:
    """`violated` names the invariant that a mutant breaks; it is empty for
    a model that must hold.
    """

    name: str
    make: Callable[[], minicheck.Protocol]
    max_states: int
    violated: str = ''
