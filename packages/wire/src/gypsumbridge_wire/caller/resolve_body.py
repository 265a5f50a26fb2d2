"""The JSON body with which an operator resolves an unknown outcome."""

import dataclasses
from typing import Literal


@dataclasses.dataclass(frozen=True)
class ResolveBody:
    """The outcome that the operator determined, and the operator's name."""

    outcome: Literal['ran', 'not_run']
    operator: str
