"""Exit codes of gypsumctl."""

import enum


class ExitCode(enum.IntEnum):
    """Stable exit codes for scripts, documented in docs/OPERATIONS.md.

    `UNAVAILABLE` also covers a write whose outcome is unknown.
    """

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    NOT_IN_FORCE = 5
