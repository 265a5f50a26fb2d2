"""The state that the configuration model explores."""

import dataclasses
from typing import Any

from gypsumbridge_decisions import configuration
from gypsumbridge_standins.models import configuration_operator
from gypsumbridge_standins.models import configuration_reply


@dataclasses.dataclass(frozen=True)
class ModelState:
    """The nodes, replies and operators of the model.

    Times are relative to now, so that equivalent states are equal.
    `observer` is the node at which the operators wait for acceptance; it
    receives reports and has no vote. `served` holds the last decision of
    each node's timer, for the mutant that checks freshness in a timer.
    `reverted` is true once a node's revision was lowered.
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
