"""The step functions that the model of a partition's holder runs."""

from collections.abc import Callable
import dataclasses
from typing import Any

from gypsumbridge_decisions import quotas


@dataclasses.dataclass(frozen=True)
class HolderSteps:
    """The decisions' own steps, or a mutant's."""

    see_record: Callable[..., Any] = quotas.see_record
    confirm: Callable[..., Any] = quotas.confirm
    may_grant: Callable[..., bool] = quotas.may_grant
