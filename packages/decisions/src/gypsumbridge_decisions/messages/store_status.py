"""How a call to the configuration store ended."""

import enum


class StoreStatus(enum.StrEnum):
    """`UNKNOWN` means that a write may or may not have been applied.

    `COMPACTED` means that a watch starts before the oldest event that the
    store still has, so the watcher must list again.
    """

    OK = 'ok'
    CONFLICT = 'conflict'
    NOT_FOUND = 'not_found'
    COMPACTED = 'compacted'
    REJECTED = 'rejected'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'
