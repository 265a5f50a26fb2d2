"""Codec of the calls with which nodes relay the store's changes.

A node polls another with a GET request. Its query string has the revision
that the node has reached, the era of the store and how long it waits, in
milliseconds. Nodes of releases that know no eras send and read none. The
response is RelayedUpdates as MessagePack, compressed because a configuration
is large and repetitive.
"""

import urllib.parse
import zlib

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import relaying
from gypsumbridge_wire import addresses
from gypsumbridge_wire import decode_errors

PATH = '/v1/news'
AFTER = 'after'
WAIT_MS = 'wait_ms'
ERA = 'era'
MAX_WAIT_MS = 60_000
# The fastest level already removes most of the size of a configuration.
COMPRESSION_LEVEL = 1
# Limits the decompressed size; no fleet has a larger state.
MAX_UPDATES_BYTES = 64 * 1024 * 1024
# No revision, age or capacity of a node reaches this number.
MAX_COUNT = 2**53
_REMEDY = 'run nodes of the same release'

_encoder = msgspec.msgpack.Encoder()
_updates_decoder = msgspec.msgpack.Decoder(relaying.RelayedUpdates)
_node_decoder = msgspec.json.Decoder(relaying.PeerNode)


def encode_target(after_revision: int, wait_ms: int, era: int) -> str:
    """Return the request target of a call."""
    query = urllib.parse.urlencode(
        {AFTER: after_revision, WAIT_MS: wait_ms, ERA: era}
    )
    return f'{PATH}?{query}'


def decode_target(target: str) -> tuple[int, int, int | None] | None:
    """Return the revision, wait and era of a call; None for other targets.

    The era is None if the call names none.
    """
    path, _, text = target.partition('?')
    if path != PATH:
        return None
    query = dict(urllib.parse.parse_qsl(text))
    try:
        after = int(query[AFTER])
        wait_ms = int(query[WAIT_MS])
        era = int(query[ERA]) if ERA in query else None
    except (KeyError, ValueError):
        return None
    if era is not None and not 0 <= era <= MAX_COUNT:
        return None
    return max(0, after), min(max(0, wait_ms), MAX_WAIT_MS), era


def encode_updates(updates: relaying.RelayedUpdates) -> bytes:
    """Return the body of a response."""
    return zlib.compress(_encoder.encode(updates), COMPRESSION_LEVEL)


def decode_updates(body: bytes) -> relaying.RelayedUpdates:
    """Return the updates in a body; FrameError if it does not decode."""
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(body, MAX_UPDATES_BYTES)
        updates = _updates_decoder.decode(data)
    except (zlib.error, *decode_errors.DECODE_ERRORS) as error:
        raise errors.FrameError(
            f'a peer sent updates that do not decode: {error}', _REMEDY
        ) from error
    if not decompressor.eof:
        # The checksum at the end is missing.
        raise errors.FrameError('a peer sent updates that broke off', _REMEDY)
    numbers = (updates.revision, updates.age_ms, updates.proof_age_ms or 0)
    eras = (updates.era or 0, *(record.era for record in updates.records))
    revisions = (record.revision for record in updates.records)
    if not all(
        0 <= number <= MAX_COUNT for number in (*numbers, *eras, *revisions)
    ):
        raise errors.FrameError(
            'a peer sent updates with a number out of range', _REMEDY
        )
    return updates


def encode_node(node: relaying.PeerNode) -> bytes:
    """Return the value of the entry that a node writes to the store."""
    return msgspec.json.encode(node)


def decode_node(node_id: str, value: bytes) -> relaying.PeerNode:
    """Return the node of an entry; FrameError unless it has that id."""
    try:
        node = _node_decoder.decode(value)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.FrameError(
            f'the entry of node {node_id} does not decode: {error}', _REMEDY
        ) from error
    if node.node_id != node_id:
        raise errors.FrameError(
            f'the entry of node {node_id} names {node.node_id!r}', _REMEDY
        )
    for address in (node.address, node.gather_address):
        if not address or addresses.is_address(address):
            continue
        raise errors.FrameError(
            f'the entry of node {node_id} has the address {address!r}',
            'set the addresses under listen of that node to ip:port',
        )
    if not 0 <= node.capacity <= MAX_COUNT:
        raise errors.FrameError(
            f'the entry of node {node_id} has the capacity {node.capacity}',
            'set capacity of that node to a number from 0 on',
        )
    return node
