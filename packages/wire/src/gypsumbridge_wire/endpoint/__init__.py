"""Requests to an endpoint and its replies, as HTTP."""

from gypsumbridge_wire.endpoint.decode import decode_health as decode_health
from gypsumbridge_wire.endpoint.decode import decode_reply as decode_reply
from gypsumbridge_wire.endpoint.decode import failed_reply as failed_reply
from gypsumbridge_wire.endpoint.encode import encode_check as encode_check
from gypsumbridge_wire.endpoint.encode import encode_request as encode_request
