"""JSON of the query API for callers."""

from gypsumbridge_wire.caller.decode import check_deadline as check_deadline
from gypsumbridge_wire.caller.decode import check_names as check_names
from gypsumbridge_wire.caller.decode import decode_body as decode_body
from gypsumbridge_wire.caller.decode import decode_query as decode_query
from gypsumbridge_wire.caller.encode import encode_answer as encode_answer
from gypsumbridge_wire.caller.encode import encode_refusal as encode_refusal
from gypsumbridge_wire.caller.encode import make_refusal as make_refusal
from gypsumbridge_wire.caller.query_body import QueryBody as QueryBody
