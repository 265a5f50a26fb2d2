"""An operator's leaving declaration that is newer than the catalog."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OperatorNotice:
    """Overrides the catalog until the catalog has reached `revision`."""

    revision: int
    leaving: bool
