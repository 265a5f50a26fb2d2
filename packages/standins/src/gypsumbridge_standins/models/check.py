"""A model and the expected result of its check."""

from collections.abc import Callable
import dataclasses

import minicheck


@dataclasses.dataclass(frozen=True)
class Check:
    """`violated` names the invariant that a mutant violates; it is empty for
    a model whose invariants must hold.
    """

    name: str
    make: Callable[[], minicheck.Protocol]
    max_states: int
    violated: str = ''
