"""Codec of messages between nodes.

A message has three frames: version, type name and MessagePack body.
"""

from collections.abc import Sequence
from typing import Any

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_wire import decode_errors
from gypsumbridge_wire import peer_rules

PROTOCOL_VERSION = b'1'
MAX_BODY_BYTES = 4 * 1024 * 1024
FRAME_PARTS = 3

MESSAGE_TYPES: tuple[type, ...] = (
    messages.ShardBatch,
    messages.PartBatch,
    messages.CancelBatch,
    messages.OwnerCheck,
    messages.OwnerAlive,
    messages.MutationCall,
    messages.MutationResult,
    messages.EndpointLeaving,
    messages.Introduction,
    messages.Probe,
    messages.ProbeRequest,
    messages.ProbeAck,
    messages.ConfigPull,
    messages.ConfigState,
)

_encoder = msgspec.msgpack.Encoder()
_decoders = {
    kind.__name__.encode(): msgspec.msgpack.Decoder(kind)
    for kind in MESSAGE_TYPES
}


def encode(message: Any) -> list[bytes]:
    """Return the frames of a message; FrameError if it is too large."""
    body = _encoder.encode(message)
    if len(body) > MAX_BODY_BYTES:
        raise errors.FrameError(
            f'a {type(message).__name__} has {len(body)} bytes',
            f'keep messages between nodes under {MAX_BODY_BYTES} bytes',
        )
    return [PROTOCOL_VERSION, type(message).__name__.encode(), body]


def decode(frames: Sequence[bytes]) -> Any:
    """Return the message in the frames; FrameError if they are invalid."""
    if len(frames) != FRAME_PARTS:
        raise errors.FrameError(
            f'a peer sent {len(frames)} frames',
            f'send {FRAME_PARTS}: version, type name and body',
        )
    version, name, body = frames
    if version != PROTOCOL_VERSION:
        raise errors.FrameError(
            f'a peer sent protocol version {version[:16]!r}',
            f'run nodes that use version {PROTOCOL_VERSION!r}',
        )
    decoder = _decoders.get(name)
    if decoder is None:
        raise errors.FrameError(
            f'a peer sent the unknown message type {name[:64]!r}',
            'run nodes of the same release',
        )
    try:
        message = decoder.decode(body)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.FrameError(
            f'a peer sent a {name.decode()} that does not decode: {error}',
            'run nodes of the same release',
        ) from error
    peer_rules.check(message)
    return message
