"""Whole numbers in headers."""

import re

# `int` refuses numbers of several thousand digits with a ValueError.
_DIGITS = re.compile('[0-9]{1,15}')


def parse(text: str) -> int | None:
    """Return a number of up to 15 ASCII digits, or None for other text."""
    if _DIGITS.fullmatch(text) is None:
        return None
    return int(text)
