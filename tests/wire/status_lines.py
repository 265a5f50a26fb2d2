"""Status lines, and what each of them is."""

import re

from hypothesis import strategies

INTERIM = frozenset({100, 102, 103})
# Lines that say nothing that can be relied on.
BROKEN = (
    'HTTP/1.1 +200 OK',
    'HTTP/1.1 -200 OK',
    'HTTP/1.1 2e2 OK',
    'HTTP/1.1 0200 OK',
    'HTTP/1.1 2000 OK',
    'HTTP/1.1 20 OK',
    'HTTP/1.1 2 OK',
    'HTTP/1.1 0x1F OK',
    'HTTP/1.1 200.0 OK',
    'HTTP/1.1 2_0 OK',
    'HTTP/1.1 200OK',
    'HTTP/1.1 OK',
    'HTTP/1.1 ',
    'HTTP/1.1',
    'HTTP/1.1200 OK',
    'HTTP/2.0 200 OK',
    'HTTP/2 200 OK',
    'HTTP/3.0 200 OK',
    'HTTP/0.9 200 OK',
    'HTTP/1.2 200 OK',
    'HTTP/1.10 200 OK',
    'HTTP/01.1 200 OK',
    'http/1.1 200 OK',
    'ICY 200 OK',
    '200 OK',
)
ANSWERS = ('HTTP/1.1 200', 'HTTP/1.1 200 ', 'HTTP/1.0 200 OK')


def expect(line: str) -> str:
    """Return `answer`, `interim` or `broken`."""
    found = re.fullmatch(r'HTTP/1\.[01] ([0-9]{3})( .*)?', line, re.ASCII)
    if found is None:
        return 'broken'
    status = int(found[1])
    if status in INTERIM:
        return 'interim'
    return 'answer' if 200 <= status <= 599 else 'broken'


def make_line(status: int) -> str:
    """Return the usual status line."""
    return f'HTTP/1.1 {status:03} Text'


# Usual lines with any status, and odd ones.
LINES = strategies.one_of(
    strategies.integers(0, 999).map(make_line),
    strategies.sampled_from(BROKEN + ANSWERS),
    strategies.from_regex(
        r'HTTP/[0-3]\.[0-2] [+-]?[0-9e]{1,5}( OK)?', fullmatch=True
    ),
)
