"""Calls between nodes that pass the store's changes on.

A node asks with a GET whose query holds the revision that it knows and how
long it waits, in milliseconds. The answer is RelayedUpdates as MessagePack,
compressed, since a configuration is large and repetitive.
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
MAX_WAIT_MS = 60_000
# The cheapest level already takes most of a configuration's size off.
COMPRESSION_LEVEL = 1
# No fleet's state is larger; a node does not unpack more than this.
MAX_UPDATES_BYTES = 64 * 1024 * 1024
_REMEDY = 'run nodes of the same release'

_encoder = msgspec.msgpack.Encoder()
_updates_decoder = msgspec.msgpack.Decoder(relaying.RelayedUpdates)
_node_decoder = msgspec.json.Decoder(relaying.PeerNode)


def encode_target(after_revision: int, wait_ms: int) -> str:
    """Return the target of a call."""
    query = urllib.parse.urlencode({AFTER: after_revision, WAIT_MS: wait_ms})
    return f'{PATH}?{query}'


def decode_target(target: str) -> tuple[int, int] | None:
    """Return the revision and the wait of a call, None for any other."""
    path, _, text = target.partition('?')
    if path != PATH:
        return None
    query = dict(urllib.parse.parse_qsl(text))
    try:
        after = int(query[AFTER])
        wait_ms = int(query[WAIT_MS])
    except (KeyError, ValueError):
        return None
    return max(0, after), min(max(0, wait_ms), MAX_WAIT_MS)


def encode_updates(news: relaying.RelayedUpdates) -> bytes:
    """Return the body of an answer."""
    return zlib.compress(_encoder.encode(news), COMPRESSION_LEVEL)


def decode_updates(body: bytes) -> relaying.RelayedUpdates:
    """Return the news in a body; FrameError if there are none."""
    try:
        unpacker = zlib.decompressobj()
        data = unpacker.decompress(body, MAX_UPDATES_BYTES)
        return _updates_decoder.decode(data)
    except (zlib.error, *decode_errors.DECODE_ERRORS) as error:
        raise errors.FrameError(
            f'a peer sent news that do not decode: {error}', _REMEDY
        ) from error


def encode_node(node: relaying.PeerNode) -> bytes:
    """Return the value that a node writes of itself into the store."""
    return msgspec.json.encode(node)


def decode_node(node_id: str, value: bytes) -> relaying.PeerNode:
    """Return the node of a value; FrameError if it names no such node."""
    try:
        found = _node_decoder.decode(value)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.FrameError(
            f'the entry of node {node_id} does not decode: {error}', _REMEDY
        ) from error
    if found.node_id != node_id:
        raise errors.FrameError(
            f'the entry of node {node_id} names {found.node_id!r}', _REMEDY
        )
    if found.address and not addresses.is_address(found.address):
        raise errors.FrameError(
            f'the entry of node {node_id} has the address {found.address!r}',
            'set peers or advertised_peers of that node to ip:port',
        )
    return found
