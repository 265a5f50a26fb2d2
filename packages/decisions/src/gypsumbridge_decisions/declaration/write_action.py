"""Action on an operator's write."""

import enum


class WriteAction(enum.StrEnum):
    """Write to the store, leave it unchanged, or report a conflict."""

    WRITE = 'write'
    UNCHANGED = 'unchanged'
    CONFLICT = 'conflict'
