"""JSON codec of the query API for callers."""

from gypsumbridge_wire.caller.decode import check_deadline as check_deadline
from gypsumbridge_wire.caller.decode import check_names as check_names
from gypsumbridge_wire.caller.decode import decode_body as decode_body
from gypsumbridge_wire.caller.decode import decode_query as decode_query
from gypsumbridge_wire.caller.encode import encode_answer as encode_answer
from gypsumbridge_wire.caller.encode import encode_refusal as encode_refusal
from gypsumbridge_wire.caller.encode import make_refusal as make_refusal
from gypsumbridge_wire.caller.mutation_body import MutationBody as MutationBody
from gypsumbridge_wire.caller.mutations import check_key as check_key
from gypsumbridge_wire.caller.mutations import (
    decode_mutation as decode_mutation,
)
from gypsumbridge_wire.caller.mutations import decode_resolve as decode_resolve
from gypsumbridge_wire.caller.mutations import (
    encode_claim_report as encode_claim_report,
)
from gypsumbridge_wire.caller.mutations import (
    encode_mutation_answer as encode_mutation_answer,
)
from gypsumbridge_wire.caller.mutations import make_lookup as make_lookup
from gypsumbridge_wire.caller.query_body import QueryBody as QueryBody
from gypsumbridge_wire.caller.resolve_body import ResolveBody as ResolveBody
