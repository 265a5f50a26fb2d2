"""The status of a call to the configuration store."""

import enum


class StoreStatus(enum.StrEnum):
    """`UNKNOWN` means that a write may or may not have been applied.

    `COMPACTED` means that a watch starts before the oldest event that the
    store retains, so that the watcher must list again.
    """

    OK = 'ok'
    CONFLICT = 'conflict'
    NOT_FOUND = 'not_found'
    COMPACTED = 'compacted'
    REJECTED = 'rejected'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'
