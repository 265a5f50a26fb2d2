"""The step functions that the claim model runs."""

from collections.abc import Callable
import dataclasses
from typing import Any

from gypsumbridge_decisions import mutation


@dataclasses.dataclass(frozen=True)
class ClaimSteps:
    """The decisions' own steps, or a mutant's."""

    receive_store_reply: Callable[..., Any] = mutation.receive_store_reply
    receive_result: Callable[..., Any] = mutation.receive_result
    resume: Callable[..., Any] = mutation.resume
    handle_deadline: Callable[..., Any] = mutation.handle_deadline
