"""Selection of the headers that the gateway forwards."""

from collections.abc import Collection
from collections.abc import Iterable

# RFC 9110, section 7.6.1, and older hop-by-hop headers. Content-Length is
# computed from the body that is sent.
HOP_BY_HOP = frozenset(
    {
        'connection',
        'content-length',
        'expect',
        'http2-settings',
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
    """Return the headers without those that apply to one connection only.

    The headers in `removed` (lower case) are omitted as well.
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
