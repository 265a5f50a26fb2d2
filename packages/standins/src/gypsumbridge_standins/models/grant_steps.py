"""The step functions that the model of a grant runs."""

from collections.abc import Callable
import dataclasses

from gypsumbridge_decisions import quotas


@dataclasses.dataclass(frozen=True)
class GrantSteps:
    """The decisions' own steps, or a mutant's."""

    make_grant: Callable[..., quotas.Grant] = quotas.make_grant
    is_valid: Callable[[quotas.Grant, int], bool] = quotas.Grant.is_valid
