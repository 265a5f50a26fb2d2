"""The interface between a deployment's platform and the gateway."""

from collections.abc import Callable
import dataclasses

from gypsumbridge_decisions import discovery
from gypsumbridge_node.gateway import header_names
from gypsumbridge_node.gateway import headers as http_headers
from gypsumbridge_node.gateway import http_request
from gypsumbridge_node.gateway import store_page


@dataclasses.dataclass(frozen=True)
class Adapter:
    """Header names, and encoders and decoders of calls to the store.

    The functions make no decisions. The encoders return requests to the
    store. `encode_list` gets the key after which the page begins, and
    whether the list may be some seconds old, `encode_conditional_put` the
    revision that the key must still have, 0 if it must not exist. The
    decoders get the body of a successful response; they raise FrameError for
    a body that they cannot decode. `decode_written` returns the revision of
    the write. `decode_era` gets the headers of any response and returns the
    store's era, None if they state none. `ready_path` is the path that the
    load balancer polls.
    """

    headers: header_names.HeaderNames
    ready_path: str
    schema: discovery.StoreSchema
    encode_list: Callable[[str, bool], http_request.HttpRequest]
    decode_list: Callable[[bytes], store_page.StorePage]
    encode_watch: Callable[[int, int], http_request.HttpRequest]
    decode_watch: Callable[[bytes], discovery.StoreChanged]
    encode_put: Callable[[str, bytes], http_request.HttpRequest]
    encode_conditional_put: Callable[
        [str, bytes, int], http_request.HttpRequest
    ]
    decode_written: Callable[[bytes], int]
    decode_era: Callable[[http_headers.Headers], int | None]
