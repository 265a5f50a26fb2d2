"""The headers of an HTTP message."""

from collections.abc import Iterable
import dataclasses


@dataclasses.dataclass(frozen=True)
class Headers:
    """`pairs` holds the headers as received, `first` the first value of each.

    The names in `first` are in lower case. Neither is in the representation,
    since one of them may hold a customer's key.
    """

    pairs: tuple[tuple[str, str], ...] = dataclasses.field(repr=False)
    first: dict[str, str] = dataclasses.field(repr=False)

    def lowered(self) -> tuple[tuple[str, str], ...]:
        """Return all headers with their names in lower case."""
        return tuple((name.lower(), value) for name, value in self.pairs)


def make_headers(pairs: Iterable[tuple[str, str]]) -> Headers:
    """Return headers that can be looked up by name."""
    kept = tuple(pairs)
    # In reverse order, the first value of a name overwrites the others.
    first = {name.lower(): value for name, value in reversed(kept)}
    return Headers(kept, first)
