"""What is known of the age of this node's copy of the store."""

from gypsumbridge_decisions.forwarding import copy_confirmed

# A node whose copy was confirmed longer ago may lack a change that other
# nodes have in force.
MAX_CONFIRMATION_AGE_MS = 3_000
# A change is in force at all nodes this long after the store has acknowledged
# it. A confirmation that was proven earlier, because it waited in a socket
# while the host was suspended, proves nothing about such a change.
MAX_PROOF_AGE_MS = 5_000


class CopyFreshness:
    """When the copy was confirmed, and the newest version heard of.

    `confirmed_ms` is on the clock that counts suspended time; None until the
    first confirmation. `newest_version` is the newest version of the
    configuration that another node was seen to use.
    """

    def __init__(self) -> None:
        self.confirmed_ms: int | None = None
        self.newest_version = 0

    def record_confirmation(
        self,
        confirmed: copy_confirmed.CopyConfirmed,
        now_ms: int,
        boot_ms: int,
    ) -> None:
        """Record a confirmation, unless it is too old to prove anything."""
        if boot_ms - confirmed.proven_ms > MAX_PROOF_AGE_MS:
            return
        confirmed_ms = boot_ms - max(0, now_ms - confirmed.confirmed_ms)
        if self.confirmed_ms is None or confirmed_ms > self.confirmed_ms:
            self.confirmed_ms = confirmed_ms

    def record_version(self, version: int) -> None:
        """Record a version of the configuration that another node uses."""
        self.newest_version = max(self.newest_version, version)

    def may_be_behind(self, version: int, boot_ms: int) -> bool:
        """Return whether the copy, of this version, may lack a change."""
        if self.newest_version > version or self.confirmed_ms is None:
            return True
        return boot_ms - self.confirmed_ms > MAX_CONFIRMATION_AGE_MS
