"""The last change of every key, for relaying to other nodes."""

from collections.abc import Iterable

from gypsumbridge_decisions.relaying import store_record

# Retained deletions. A poll from before the oldest one is answered with all
# keys.
MAX_DELETIONS = 1_000


class RecordLog:
    """The newest record of each key, including deletions.

    Deletions after the revision `horizon` are complete. It is the revision
    at which all keys were last listed, or that of the last deletion that
    was evicted.
    """

    def __init__(self) -> None:
        self.records: dict[str, store_record.StoreRecord] = {}
        self.deletions: dict[str, int] = {}
        self.horizon = 0

    def replace(
        self, records: Iterable[store_record.StoreRecord], revision: int
    ) -> None:
        """Replace all records by a list of all keys.

        The list includes all changes up to `revision`, and may include later
        ones. Known changes after that revision stay in the log.
        """
        newer = self.after(revision)
        self.records = {}
        self.deletions = {}
        self.horizon = revision
        self.add(records)
        self.add(newer)

    def add(
        self, records: Iterable[store_record.StoreRecord]
    ) -> tuple[store_record.StoreRecord, ...]:
        """Add changes, and return those that were added.

        A change that is not newer than the record of its key is ignored.
        """
        added = []
        for record in records:
            current = self.records.get(record.key)
            if current is not None and current.revision >= record.revision:
                continue
            added.append(record)
            self.records[record.key] = record
            self.deletions.pop(record.key, None)
            if record.value is None:
                self.deletions[record.key] = record.revision
        while len(self.deletions) > MAX_DELETIONS:
            oldest = min(self.deletions, key=self.deletions.__getitem__)
            self.horizon = max(self.horizon, self.deletions.pop(oldest))
            del self.records[oldest]
        return tuple(added)

    def is_complete_after(self, revision: int) -> bool:
        """Return whether the log holds every change after a revision."""
        return revision >= self.horizon

    def after(self, revision: int) -> tuple[store_record.StoreRecord, ...]:
        """Return the records that changed after a revision, oldest first."""
        found = [r for r in self.records.values() if r.revision > revision]
        return tuple(sorted(found, key=lambda record: record.revision))

    def present(self) -> tuple[store_record.StoreRecord, ...]:
        """Return the records of all keys that exist."""
        return tuple(r for r in self.records.values() if r.value is not None)
