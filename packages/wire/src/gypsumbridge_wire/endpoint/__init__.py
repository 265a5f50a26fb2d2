"""HTTP codec of requests to endpoints and their replies."""

from gypsumbridge_wire.endpoint.decode import decode_health as decode_health
from gypsumbridge_wire.endpoint.decode import decode_reply as decode_reply
from gypsumbridge_wire.endpoint.decode import (
    make_failed_reply as make_failed_reply,
)
from gypsumbridge_wire.endpoint.encode import encode_check as encode_check
from gypsumbridge_wire.endpoint.encode import encode_request as encode_request
