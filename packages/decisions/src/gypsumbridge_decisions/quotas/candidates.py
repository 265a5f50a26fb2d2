"""The nodes that may take over a partition."""

from collections.abc import Iterable

from gypsumbridge_decisions.relaying import peer_node
from gypsumbridge_decisions.routing import rendezvous

# Each candidate sends the holder one probe a second.
MAX_CANDIDATES = 3
# Nodes with at least this share of the largest capacity come first: their
# hosts start sooner, and all nodes wait for the holders then.
LARGE_SHARE = 0.5


def find_candidates(
    nodes: Iterable[peer_node.PeerNode], partition: int
) -> tuple[str, ...]:
    """Return the ids of the candidates of a partition, in order of rank.

    The failure domains take turns, starting with another one for each
    partition, so that no domain holds all partitions of a quota.
    """
    usable = [node for node in nodes if node.address]
    large = LARGE_SHARE * max((n.capacity for n in usable), default=0.0)
    by_domain: dict[str, list[str]] = {}
    small_by_domain: dict[str, list[str]] = {}
    for node in usable:
        groups = by_domain if node.capacity >= large else small_by_domain
        groups.setdefault(node.failure_domain, []).append(node.node_id)
        by_domain.setdefault(node.failure_domain, [])
    names = sorted(by_domain)
    if not names:
        return ()
    first = partition % len(names)
    ranked = [
        [
            *rendezvous.ordered(by_domain[name], str(partition)),
            *rendezvous.ordered(small_by_domain.get(name, ()), str(partition)),
        ]
        for name in names[first:] + names[:first]
    ]
    found: list[str] = []
    for position in range(MAX_CANDIDATES):
        found += [ids[position] for ids in ranked if position < len(ids)]
    return tuple(found[:MAX_CANDIDATES])
