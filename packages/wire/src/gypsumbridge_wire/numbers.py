"""The valid range of revisions, ages and times."""

# MessagePack, the store and all clocks can represent numbers up to this one.
MAX_NUMBER = 2**63 - 1


def is_in_range(value: int) -> bool:
    """Return whether a revision, an age or a time is in range."""
    return 0 <= value <= MAX_NUMBER
