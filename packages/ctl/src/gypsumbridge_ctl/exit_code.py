"""Exit statuses of gypsumctl."""

import enum


class ExitCode(enum.IntEnum):
    """What a script may rely on; documented in docs/OPERATIONS.md.

    `UNAVAILABLE` also covers a write whose outcome is unknown.
    """

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    NOT_IN_FORCE = 5
