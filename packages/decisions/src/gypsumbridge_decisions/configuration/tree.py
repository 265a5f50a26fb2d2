"""The tree of relays and nodes along which revisions are pulled."""

from collections.abc import Iterable

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.routing import rendezvous

RELAYS_PER_DOMAIN = 2
TREE_WIDTH = 8


def domain_orders(
    members: Iterable[messages.Member],
) -> dict[str, tuple[str, ...]]:
    """Return the node ids of each failure domain in tree order.

    The first two are the relays. Suspected and leaving members are
    included, since they still serve.
    """
    by_domain: dict[str, list[str]] = {}
    for member in members:
        if member.state == messages.MemberState.DEAD:
            continue
        ids = by_domain.setdefault(member.failure_domain, [])
        ids.append(member.node_id)
    return {
        domain: tuple(rendezvous.ordered(ids, domain))
        for domain, ids in by_domain.items()
    }


def parent_candidates(order: tuple[str, ...], node_id: str) -> tuple[str, ...]:
    """Return the candidates for a node's parent, the preferred one first.

    They are its ancestors in a tree of width 8 below the two relays, then
    the other relay. A relay has none.
    """
    if node_id not in order:
        return order[:RELAYS_PER_DOMAIN]
    found: list[str] = []
    position = order.index(node_id)
    while position >= RELAYS_PER_DOMAIN:
        position = (position - RELAYS_PER_DOMAIN) // TREE_WIDTH
        found.append(order[position])
    if not found:
        return ()
    found += [
        relay for relay in order[:RELAYS_PER_DOMAIN] if relay not in found
    ]
    return tuple(found)
