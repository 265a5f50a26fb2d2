"""An in-memory host list of the platform."""

from gypsumbridge_decisions import messages


class ModelHosts:
    """The versions of the list, and the index of the visible one.

    A version becomes visible `lag_ms` after it was added; the list never
    returns to an older one.
    """

    def __init__(self) -> None:
        self.versions: list[tuple[int, messages.HostList]] = []
        self.shown_index = 0
        self.lag_ms = 1_000

    def add_version(self, now_ms: int, hosts: messages.HostList) -> None:
        """Add a version of the list."""
        self.versions.append((now_ms, hosts))

    def read(self, now_ms: int) -> messages.HostList:
        """Return the version of the list that is visible now."""
        for number in range(self.shown_index, len(self.versions)):
            if self.versions[number][0] <= now_ms - self.lag_ms:
                self.shown_index = number
        return self.versions[self.shown_index][1]
