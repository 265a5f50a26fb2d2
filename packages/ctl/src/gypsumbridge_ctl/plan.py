"""Plans the changes that apply a set of declarations."""

from collections.abc import Iterable
from collections.abc import Mapping
import json
from typing import Any

import msgspec

from gypsumbridge_ctl import change
from gypsumbridge_ctl import declarations
from gypsumbridge_decisions import resources


def make_plan(
    declared: Mapping[declarations.Key, resources.Spec],
    current: Iterable[dict[str, Any]],
) -> list[change.Change]:
    """Return the changes in an order in which nodes accept them.

    Ranks whose floor decreases come before ranks whose floor increases, so
    that the sum of floors stays below 1 after each change.
    """
    current_by_key = {(item['kind'], item['name']): item for item in current}
    changes = []
    for kind in declarations.APPLY_ORDER:
        kind_changes = []
        for (declared_kind, name), spec in sorted(declared.items()):
            if declared_kind != kind:
                continue
            after = json.loads(msgspec.json.encode(spec))
            item = current_by_key.get((kind, name))
            if item is None:
                kind_changes.append(change.Change(kind, name, None, after, 0))
            elif item['spec'] != after:
                kind_changes.append(
                    change.Change(
                        kind, name, item['spec'], after, item['revision']
                    )
                )
        kind_changes.sort(key=_added_floor)
        changes += kind_changes
    return changes


def _added_floor(planned: change.Change) -> float:
    before = planned.before or {}
    return planned.after.get('floor', 0) - before.get('floor', 0)
