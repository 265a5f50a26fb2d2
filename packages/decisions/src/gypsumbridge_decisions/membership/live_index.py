"""The members that are not dead, for random sampling."""

import random


class LiveIndex:
    """A set of names whose sampling cost does not grow with its size."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.positions: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Add a name unless it is present."""
        if name not in self.positions:
            self.positions[name] = len(self.names)
            self.names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name if it is present; the last name moves to its place."""
        position = self.positions.pop(name, None)
        if position is None:
            return
        last = self.names.pop()
        if last != name:
            self.names[position] = last
            self.positions[last] = position

    def sample(
        self, source: random.Random, count: int, exclude: str
    ) -> list[str]:
        """Return up to `count` random names other than `exclude`."""
        drawn = source.sample(self.names, min(count + 1, len(self.names)))
        return [name for name in drawn if name != exclude][:count]
