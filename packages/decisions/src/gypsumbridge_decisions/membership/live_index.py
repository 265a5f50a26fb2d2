"""The members that are not dead, for random draws."""

import random


class LiveIndex:
    """A set of names with draws whose cost does not grow with its size."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.positions: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Add a name unless it is there."""
        if name not in self.positions:
            self.positions[name] = len(self.names)
            self.names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name if it is there; the last one takes its place."""
        position = self.positions.pop(name, None)
        if position is None:
            return
        last = self.names.pop()
        if last != name:
            self.names[position] = last
            self.positions[last] = position

    def draw(
        self, source: random.Random, count: int, without: str
    ) -> list[str]:
        """Return up to `count` names other than `without`."""
        drawn = source.sample(self.names, min(count + 1, len(self.names)))
        return [name for name in drawn if name != without][:count]
