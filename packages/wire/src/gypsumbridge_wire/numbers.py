"""The range of revisions, ages and times."""

# What MessagePack, the store and every clock can hold without a sign.
MAX_NUMBER = 2**63 - 1


def is_number(value: int) -> bool:
    """Say whether a revision, an age or a time is in range."""
    return 0 <= value <= MAX_NUMBER
