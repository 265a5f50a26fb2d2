"""The time for which a searcher is kept after its entry was deleted."""

# Entries that expired during an outage of the store are written again within
# two seconds.
ENTRY_RECOVERY_MS = 2_000
# The notice of a removal may be delayed by the pause between two watches, and
# the last requests by their time on the network.
REMOVAL_NOTICE_MS = 1_000
MIN_HOLD_MS = 100


def removal_hold_ms(drain_ms: int) -> int:
    """Return the hold time of a searcher whose entry is missing.

    A leaving searcher may be sent requests for `drain_ms`.
    """
    return max(
        MIN_HOLD_MS, min(ENTRY_RECOVERY_MS, drain_ms - REMOVAL_NOTICE_MS)
    )
