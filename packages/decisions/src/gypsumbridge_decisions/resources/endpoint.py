"""One searcher process that holds the shards of a replica set."""

import dataclasses
import ipaddress

from gypsumbridge_decisions import errors

MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """A declared endpoint.

    `address` is an IP address. The endpoint runs `slots` requests at once
    and queues or sheds further ones. It refuses more than `connections`
    connections. A new connection takes it about `connect_ms`.
    """

    name: str
    service: str
    replica_set: str
    address: str
    port: int
    failure_domain: str
    slots: int = 2
    connections: int = 25
    connect_ms: int = 6
    leaving: bool = False


def check_endpoint(endpoint: Endpoint) -> None:
    """Raise DeclarationError if a field is out of range."""
    _check_address(endpoint)
    if not 0 < endpoint.port <= MAX_PORT:
        raise errors.DeclarationError(
            f'endpoint {endpoint.name}: port is {endpoint.port}',
            f'use a TCP port from 1 to {MAX_PORT}',
        )
    if endpoint.slots < 1:
        raise errors.DeclarationError(
            f'endpoint {endpoint.name}: slots is {endpoint.slots}',
            'use at least 1',
        )
    # The owner holds slots + 1 connections, the standby 1, and one stale
    # owner slots + 1.
    needed = 2 * (endpoint.slots + 1) + 1
    if endpoint.connections < needed:
        raise errors.DeclarationError(
            f'endpoint {endpoint.name}: connections is {endpoint.connections}',
            f'use at least {needed}, which an owner, a standby and one stale'
            ' owner may open together',
        )


def _check_address(endpoint: Endpoint) -> None:
    try:
        ipaddress.ip_address(endpoint.address)
    except ValueError as error:
        raise errors.DeclarationError(
            f'endpoint {endpoint.name}: address is {endpoint.address!r}',
            'use an IP address; host names are not resolved',
        ) from error
