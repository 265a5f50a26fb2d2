"""Recognizes heads that consist of two responses."""

from collections.abc import Iterable
import re

_STATUS_LINE = re.compile(r'HTTP/[0-9]\.[0-9] [0-9]{3}')


def is_merged(reason: str, headers: Iterable[tuple[str, str]]) -> bool:
    """Return whether the head of a response contains another one.

    If a server breaks off a response and sends the next one, the parser
    reads the rest of a line and the next status line as one line, which is
    the reason phrase or the value of a header.
    """
    for value in (reason, *(value for _, value in headers)):
        # The search for a constant is much faster than the pattern.
        if 'HTTP/' not in value:
            continue
        if _STATUS_LINE.search(value) is not None:
            return True
    return False
