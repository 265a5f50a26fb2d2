"""Codecs of the configuration store's calls and of the stored values."""

from gypsumbridge_wire.store.claim_value import (
    decode_claim_list as decode_claim_list,
)
from gypsumbridge_wire.store.claim_value import (
    decode_claim_reply as decode_claim_reply,
)
from gypsumbridge_wire.store.claim_value import (
    encode_claim_call as encode_claim_call,
)
from gypsumbridge_wire.store.claim_value import (
    encode_claim_key as encode_claim_key,
)
from gypsumbridge_wire.store.decode import decode_reply as decode_reply
from gypsumbridge_wire.store.encode import encode_call as encode_call
from gypsumbridge_wire.store.reply_body import ReplyBody as ReplyBody
from gypsumbridge_wire.store.resource_value import (
    CONFIG_PREFIX as CONFIG_PREFIX,
)
from gypsumbridge_wire.store.resource_value import decode_item as decode_item
from gypsumbridge_wire.store.resource_value import decode_key as decode_key
from gypsumbridge_wire.store.resource_value import encode_key as encode_key
from gypsumbridge_wire.store.resource_value import encode_value as encode_value
from gypsumbridge_wire.store.stored_resource import (
    StoredResource as StoredResource,
)
