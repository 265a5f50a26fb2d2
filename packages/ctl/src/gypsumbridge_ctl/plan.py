"""Finds what has to change for the declarations to be in force."""

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
    """Return the changes in the order in which they can be made.

    Ranks that lose floor come before ranks that gain it, so that the sum
    of floors stays below 1 between the changes.
    """
    known = {(item['kind'], item['name']): item for item in current}
    changes = []
    for kind in declarations.ORDER:
        made = []
        for (declared_kind, name), spec in sorted(declared.items()):
            if declared_kind != kind:
                continue
            after = json.loads(msgspec.json.encode(spec))
            item = known.get((kind, name))
            if item is None:
                made.append(change.Change(kind, name, None, after, 0))
            elif item['spec'] != after:
                made.append(
                    change.Change(
                        kind, name, item['spec'], after, item['revision']
                    )
                )
        made.sort(key=_added_floor)
        changes += made
    return changes


def _added_floor(planned: change.Change) -> float:
    before = planned.before or {}
    return planned.after.get('floor', 0) - before.get('floor', 0)
