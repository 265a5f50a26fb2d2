"""A decision on an operator's write."""

import dataclasses

from gypsumbridge_decisions import resources
from gypsumbridge_decisions.declaration import write_action


@dataclasses.dataclass(frozen=True)
class PreparedWrite:
    """An action and the resource to write, or the current one if unchanged.

    `expected_revision` is the revision that the write replaces; in a
    conflict it is the current one. 0 means that the resource does not
    exist.
    """

    action: write_action.WriteAction
    resource: resources.Resource
    expected_revision: int
