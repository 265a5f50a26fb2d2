"""How a request to an endpoint ended."""

import enum


class EndpointStatus(enum.StrEnum):
    """The status of an endpoint's reply, or of the lack of one.

    `UNREACHABLE` means that no byte of the request was sent; `LOST` that
    the connection ended or timed out after a byte may have left.
    """

    OK = 'ok'
    SHED = 'shed'
    DRAINING = 'draining'
    VERSION_GONE = 'version_gone'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    LOST = 'lost'
    INVALID = 'invalid'
