"""Validation of addresses in messages and in the store."""

import ipaddress

MAX_PORT = 65_535


def is_address(value: str) -> bool:
    """Return whether a text is `ip:port`."""
    host, _, port = value.rpartition(':')
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        return False
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return 0 < int(port) <= MAX_PORT
