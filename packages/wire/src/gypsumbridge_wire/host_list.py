"""JSON of the platform's host list."""

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages

HOSTS_PATH = '/v1/hosts'
_decoder = msgspec.json.Decoder(messages.HostList)


def decode(body: bytes) -> messages.HostList:
    """Return the host list; FrameError if the body is none."""
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise errors.FrameError(
            f'the host list does not decode: {error}',
            'check the address of the host list',
        ) from error


def encode(hosts: messages.HostList) -> bytes:
    """Return the JSON body of a host list."""
    return msgspec.json.encode(hosts)
