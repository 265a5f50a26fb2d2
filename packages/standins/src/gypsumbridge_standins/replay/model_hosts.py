"""The platform's host list in memory."""

from gypsumbridge_decisions import messages


class ModelHosts:
    """The versions of the list and the one that is shown.

    A change is shown after `lag_ms`; the shown list never goes back.
    """

    def __init__(self) -> None:
        self.versions: list[tuple[int, messages.HostList]] = []
        self.shown = 0
        self.lag_ms = 1_000

    def put(self, now_ms: int, hosts: messages.HostList) -> None:
        """Add a version of the list."""
        self.versions.append((now_ms, hosts))

    def read(self, now_ms: int) -> messages.HostList:
        """Return the list as the platform shows it now."""
        for number in range(self.shown, len(self.versions)):
            if self.versions[number][0] <= now_ms - self.lag_ms:
                self.shown = number
        return self.versions[self.shown][1]
