"""Admission levels reported by owners."""

from collections.abc import Iterable

from gypsumbridge_decisions import messages

# An older level no longer reflects the owner's queues. A level that did not
# expire would cause refusals after the overload has ended.
LEVEL_TTL_MS = 1_000
# Higher than any admission key.
ADMIT_ALL = 64.0


class Levels:
    """Latest admission level of each (service, replica set, rank).

    `reported` maps these to the level and its expiry time in milliseconds.
    """

    def __init__(self) -> None:
        self.reported: dict[tuple[str, str, str], tuple[float, int]] = {}

    def update(
        self, levels: Iterable[messages.AdmissionLevel], now_ms: int
    ) -> None:
        """Store the levels of a report received at `now_ms`."""
        for level in levels:
            key = (level.service, level.replica_set, level.rank)
            self.reported[key] = (level.level, now_ms + LEVEL_TTL_MS)

    def find(
        self, service: str, replica_set: str, rank: str, now_ms: int
    ) -> float:
        """Return the level, or ADMIT_ALL if there is no unexpired one."""
        found = self.reported.get((service, replica_set, rank))
        if found is None or found[1] <= now_ms:
            return ADMIT_ALL
        return found[0]
