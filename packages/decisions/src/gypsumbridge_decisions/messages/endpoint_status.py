"""The status of a request to an endpoint."""

import enum


class EndpointStatus(enum.StrEnum):
    """The status in the reply, or why there is no usable reply.

    `UNREACHABLE` means that no byte of the request was sent; `LOST` that
    the connection closed or timed out after a byte may have been sent.
    """

    OK = 'ok'
    SHED = 'shed'
    DRAINING = 'draining'
    VERSION_GONE = 'version_gone'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    LOST = 'lost'
    INVALID = 'invalid'
