"""Which headers pass through the gateway."""

from collections.abc import Collection
from collections.abc import Iterable

# RFC 9110, section 7.6.1, and the older names of the same kind. The length
# is computed from the body that is sent.
HOP_BY_HOP = frozenset(
    {
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


def end_to_end_headers(
    headers: Iterable[tuple[str, str]], removed: Collection[str] = ()
) -> tuple[tuple[str, str], ...]:
    """Return the headers that do not concern one connection only.

    Those in `removed` (lower case) are left out as well.
    """
    headers = tuple(headers)
    named = set()
    for key, value in headers:
        if key.lower() == 'connection':
            named |= {part.strip().lower() for part in value.split(',')}
    return tuple(
        (key, value)
        for key, value in headers
        if key.lower() not in HOP_BY_HOP
        and key.lower() not in named
        and key.lower() not in removed
    )
