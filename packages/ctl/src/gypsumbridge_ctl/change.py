"""A planned change of one resource."""

import dataclasses
from typing import Any

from gypsumbridge_decisions import resources


@dataclasses.dataclass(frozen=True)
class Change:
    """Specs of a resource before and after a change, as JSON objects.

    `revision` is the current revision of the resource. For a new resource
    `before` is None and `revision` is 0.
    """

    kind: resources.Kind
    name: str
    before: dict[str, Any] | None
    after: dict[str, Any]
    revision: int

    def fields(self) -> dict[str, tuple[Any, Any]]:
        """Return the old and new value of each field that differs."""
        before = self.before or {}
        return {
            field: (before.get(field), value)
            for field, value in self.after.items()
            if self.before is None or before.get(field) != value
        }
