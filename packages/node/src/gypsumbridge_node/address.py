"""Addresses in settings."""


def split_address(address: str) -> tuple[str, int]:
    """Return IP number and port of `ip:port`."""
    host, port = address.rsplit(':', 1)
    return host, int(port)
