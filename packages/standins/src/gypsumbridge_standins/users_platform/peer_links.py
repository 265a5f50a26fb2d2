"""The ports at which a gateway serves other gateways."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PeerLinks:
    """The ports for polls and delegated gathers.

    Other gateways use the advertised ports, which may be those of proxies.
    """

    peers: int
    advertised_peers: int
    gathers: int
    advertised_gathers: int
