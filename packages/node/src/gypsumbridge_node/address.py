"""Parsing of addresses."""


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of `ip:port`."""
    host, port = address.rsplit(':', 1)
    return host, int(port)
