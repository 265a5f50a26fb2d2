"""The JSON body of an operator's word on an unknown outcome."""

import dataclasses
from typing import Literal


@dataclasses.dataclass(frozen=True)
class ResolveBody:
    """The outcome that the operator has found out, and who that was."""

    outcome: Literal['ran', 'not_run']
    operator: str
