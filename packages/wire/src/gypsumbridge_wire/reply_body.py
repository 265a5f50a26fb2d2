"""The encoded form of a coordinator's reply."""

import msgspec


class ReplyBody(msgspec.Struct, frozen=True):
    """A reply with the CRC-32 of its encoded `response`.

    The fields that identify and protect the response come first, so that a
    reply that broke off cannot lack them. Earlier releases neither write nor
    read `delegation_id` and `checksum`, which are both 0 then.
    """

    delegation_id: int = 0
    checksum: int = 0
    refusal: str = ''
    response: msgspec.Raw = msgspec.Raw(b'\xc0')
