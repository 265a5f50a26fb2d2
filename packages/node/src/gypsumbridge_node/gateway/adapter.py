"""What a deployment's platform provides to the gateway."""

from collections.abc import Callable
import dataclasses

from gypsumbridge_decisions import discovery
from gypsumbridge_node.gateway import header_names
from gypsumbridge_node.gateway import http_request
from gypsumbridge_node.gateway import store_page


@dataclasses.dataclass(frozen=True)
class Adapter:
    """Names, calls and formats; none of its functions decides anything.

    `encode_list` gets the key that the page follows, and whether the list
    may be some seconds old.

    The encoders return requests to the store, and the decoders take the
    body of a successful response; they raise FrameError for a body that
    they cannot read. `ready_path` is what the load balancer asks for.
    """

    headers: header_names.HeaderNames
    ready_path: str
    schema: discovery.StoreSchema
    encode_list: Callable[[str, bool], http_request.HttpRequest]
    decode_list: Callable[[bytes], store_page.StorePage]
    encode_watch: Callable[[int, int], http_request.HttpRequest]
    decode_watch: Callable[[bytes], discovery.StoreChanged]
    encode_put: Callable[[str, bytes], http_request.HttpRequest]
