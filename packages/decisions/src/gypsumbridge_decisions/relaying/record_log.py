"""The last change of every key, for relaying to other nodes."""

from collections.abc import Iterable

from gypsumbridge_decisions.relaying import store_record

# Retained deletions. A poll from before the oldest one is answered with all
# keys.
MAX_DELETIONS = 1_000


class RecordLog:
    """The newest record of each key, including deletions.

    Deletions of `era` after the revision `horizon` are complete. It is the
    revision at which all keys were last listed, or that of the last deletion
    that was evicted. Records of older eras are those of keys that the
    store's copy lacked when it was first listed in `era`.
    """

    def __init__(self) -> None:
        self.records: dict[str, store_record.StoreRecord] = {}
        self.deletions: dict[str, tuple[int, int]] = {}
        self.era = 0
        self.horizon = 0

    def replace(
        self,
        records: Iterable[store_record.StoreRecord],
        revision: int,
        era: int = 0,
    ) -> None:
        """Replace all records by a list of all keys in an era.

        The list includes all changes up to `revision`, and may include later
        ones. Known changes after that revision stay in the log. A key that
        was present in the same era and is not listed was deleted. Records of
        older eras and known deletions stay until the list, or a later change,
        has a newer record of their key. Of two records at one position the
        listed one is used.
        """
        listed = {record.key: record for record in records}
        known = self.records
        self.records = {}
        self.era = era
        self.horizon = revision
        for key, record in known.items():
            if key in listed or record.position() > (era, revision):
                continue
            if record.value is not None and record.era == era:
                known[key] = store_record.StoreRecord(key, revision, None, era)
        self.deletions = {}
        self.add(known.values())
        for key, record in listed.items():
            current = known.get(key)
            if current is None or current.position() <= record.position():
                self.put(record)
        self.evict()

    def add(
        self, records: Iterable[store_record.StoreRecord]
    ) -> tuple[store_record.StoreRecord, ...]:
        """Add changes, and return those that were added.

        A change that is not newer than the record of its key is ignored.
        """
        added = []
        for record in records:
            current = self.records.get(record.key)
            if current is not None:
                if current.position() >= record.position():
                    continue
            added.append(record)
            self.put(record)
        self.evict()
        return tuple(added)

    def evict(self) -> None:
        """Remove the oldest deletions over the limit."""
        while len(self.deletions) > MAX_DELETIONS:
            oldest = min(self.deletions, key=self.deletions.__getitem__)
            era, revision = self.deletions.pop(oldest)
            if era == self.era:
                self.horizon = max(self.horizon, revision)
            del self.records[oldest]

    def put(self, record: store_record.StoreRecord) -> None:
        """Set the record of a key, whatever the known one is."""
        self.records[record.key] = record
        self.deletions.pop(record.key, None)
        if record.value is None:
            self.deletions[record.key] = record.position()

    def is_complete_after(self, revision: int) -> bool:
        """Return whether the log holds every change after a revision."""
        return revision >= self.horizon

    def after(self, revision: int) -> tuple[store_record.StoreRecord, ...]:
        """Return the changes of the era after a revision, oldest first."""
        found = [
            record
            for record in self.records.values()
            if record.era == self.era and record.revision > revision
        ]
        return tuple(sorted(found, key=lambda record: record.revision))

    def present(self) -> tuple[store_record.StoreRecord, ...]:
        """Return the records of all keys that exist."""
        return tuple(r for r in self.records.values() if r.value is not None)
