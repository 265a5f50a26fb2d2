"""JSON codec of the platform's host list."""

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_wire import decode_errors
from gypsumbridge_wire import peer_rules

NODE_ROLE = 'node'
HOSTS_PATH = '/v1/hosts'
_decoder = msgspec.json.Decoder(messages.HostList)


def decode(body: bytes) -> messages.HostList:
    """Return the host list; FrameError if the body does not decode."""
    try:
        return _decoder.decode(body)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.FrameError(
            f'the host list does not decode: {error}',
            'check the address of the host list',
        ) from error


def drop_unusable(
    hosts: messages.HostList,
) -> tuple[messages.HostList, tuple[str, ...]]:
    """Return the list without unusable nodes, and the names of those nodes.

    A node is unusable if its values are invalid in a message to peers. Peers
    reject every probe that includes such a node among its updates, so one
    invalid entry would stop the membership protocol of the whole fleet.
    """
    usable = []
    dropped = []
    for host in hosts.hosts:
        member = messages.Member(
            host.name,
            host.failure_domain,
            host.peer_address,
            host.http_address,
        )
        if host.role == NODE_ROLE and peer_rules.find_invalid_field(member):
            dropped.append(host.name)
            continue
        usable.append(host)
    return messages.HostList(tuple(usable)), tuple(dropped)


def encode(hosts: messages.HostList) -> bytes:
    """Return the JSON body of a host list."""
    return msgspec.json.encode(hosts)
