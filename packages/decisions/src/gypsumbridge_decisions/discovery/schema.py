"""The store's key layout and the decoders of its values."""

from collections.abc import Callable
import dataclasses

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import quotas
from gypsumbridge_decisions import relaying


@dataclasses.dataclass(frozen=True)
class StoreSchema:
    """Key names and decoders of a deployment's store.

    The decoders raise FrameError for an invalid value.
    `decode_searcher` and `decode_node` get the id, which is the key without
    its prefix. `decode_holder` gets the partition, whose number follows its
    prefix, and returns a record without a revision. A key with
    `evacuation_prefix`, unless that is empty, requests the evacuation of the
    failure domain that the rest of the key names.
    """

    routes_key: str
    searcher_prefix: str
    node_prefix: str
    decode_routes: Callable[[bytes], forwarding.RouteTable]
    decode_searcher: Callable[[str, bytes], forwarding.Searcher]
    decode_node: Callable[[str, bytes], relaying.PeerNode]
    holder_prefix: str
    decode_holder: Callable[[int, bytes], quotas.HolderRecord]
    evacuation_prefix: str = ''
