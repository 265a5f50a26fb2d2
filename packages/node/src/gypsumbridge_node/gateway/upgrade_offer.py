"""Requests that offer to upgrade their connection to another protocol.

RFC 9110, section 7.8, lets a server ignore the offer. Java's HTTP client and
`curl --http2` make one on connections without TLS.
"""

from collections.abc import Iterable

# The parser ends such a request after its head and drops the body. The head
# is therefore parsed again without these headers. `Expect` is removed because
# it was answered when the head was parsed first.
_REMOVED = frozenset({'upgrade', 'http2-settings', 'expect'})


def encode_without_offer(
    method: str,
    target: bytes,
    http_version: str,
    headers: Iterable[tuple[str, str]],
) -> bytes:
    """Return the head of a request as if it had made no offer.

    Its framing and the other options of its Connection header are kept.
    """
    lines = []
    for name, value in headers:
        key = name.lower()
        if key in _REMOVED:
            continue
        if key == 'connection':
            value = ', '.join(_other_options(value))
            if not value:
                continue
        lines.append(f'{name}: {value}\r\n')
    start = f'{method} '.encode('latin-1') + target
    end = f' HTTP/{http_version}\r\n' + ''.join(lines) + '\r\n'
    return start + end.encode('latin-1')


def _other_options(connection: str) -> list[str]:
    """Return the options of a Connection header that are no offer."""
    options = [option.strip() for option in connection.split(',')]
    return [
        option
        for option in options
        if option and option.lower() not in _REMOVED
    ]
