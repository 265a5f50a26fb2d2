"""Which status lines of HTTP/1 are answers.

All clients of this product follow the same rule. A line that is neither an
answer nor interim shows that client and server have lost each other's place
in the stream, or that the server is broken: the connection ends, and the
request may have run.
"""

import re

from gypsumbridge_wire import status_kind

_VERSIONS = frozenset({'1.0', '1.1'})
# Continue, processing and early hints. Switching protocols (101) is never
# asked for.
_INTERIM = frozenset({'100', '102', '103'})
_FIRST_ANSWER = '200'
_LAST_ANSWER = '599'
_LINE = re.compile(rb'HTTP/([0-9.]+) ([^ ]*)(?: .*)?', re.DOTALL)
_DIGITS = re.compile(r'[0-9]{3}')


def is_answer(status: int) -> bool:
    """Return whether a final answer may have this status."""
    return int(_FIRST_ANSWER) <= status <= int(_LAST_ANSWER)


def classify(version: str, status: str) -> status_kind.StatusKind:
    """Return what a line with this version and status code begins."""
    if version not in _VERSIONS or _DIGITS.fullmatch(status) is None:
        return status_kind.StatusKind.BROKEN
    if _FIRST_ANSWER <= status <= _LAST_ANSWER:
        return status_kind.StatusKind.ANSWER
    if status in _INTERIM:
        return status_kind.StatusKind.INTERIM
    return status_kind.StatusKind.BROKEN


def classify_line(line: bytes) -> status_kind.StatusKind:
    """Return what a line as received, without its end, begins."""
    found = _LINE.fullmatch(line)
    if found is None:
        return status_kind.StatusKind.BROKEN
    return classify(found[1].decode('latin-1'), found[2].decode('latin-1'))
