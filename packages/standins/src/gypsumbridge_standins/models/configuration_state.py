"""The state that the configuration model explores."""

import dataclasses
from typing import Any

from gypsumbridge_decisions import configuration
from gypsumbridge_standins.models import configuration_operator
from gypsumbridge_standins.models import configuration_reply


@dataclasses.dataclass(frozen=True)
class ModelState:
    """Times are relative to now, so that equal situations are one state.

    `observer` is the node where the operators wait for acceptance; it
    hears reports and gives no vote.

    `served` holds what a timer last decided about serving, for the mutant
    that judges freshness there. `reverted` notes a lowered revision.
    """

    cores: tuple[configuration.Core, ...]
    observer: configuration.Core
    replies: tuple[configuration_reply.Reply | None, ...]
    operators: tuple[configuration_operator.Operator, ...]
    restarted: tuple[bool, ...]
    served: tuple[bool, ...]
    stored: int = 0
    reverted: bool = False


def replace_at(items: tuple[Any, ...], index: int, item: Any) -> tuple:
    """Return the tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])
