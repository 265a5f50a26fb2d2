"""The Keep-Alive header of a response."""

from gypsumbridge_node.gateway import decimal_number
from gypsumbridge_node.gateway import http_reply


def keep_alive_ms(reply: http_reply.HttpReply) -> int | None:
    """Return the server's idle timeout, if it states one."""
    value = reply.headers.first.get('keep-alive')
    if value is None:
        return None
    for part in value.split(','):
        name, _, number = part.strip().partition('=')
        seconds = decimal_number.parse(number.strip())
        if name.strip().lower() == 'timeout' and seconds is not None:
            return seconds * 1_000
    return None
