"""What to do about an operator's write."""

import enum


class WriteAction(enum.StrEnum):
    """Write to the store, leave it as it is, or report a conflict."""

    WRITE = 'write'
    UNCHANGED = 'unchanged'
    CONFLICT = 'conflict'
