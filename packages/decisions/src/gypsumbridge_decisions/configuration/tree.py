"""Which nodes are relays and from whom a node pulls."""

from collections.abc import Iterable

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.routing import rendezvous

RELAYS = 2
WIDTH = 8


def domain_orders(
    members: Iterable[messages.Member],
) -> dict[str, tuple[str, ...]]:
    """Return the node ids of each failure domain in their tree order.

    The first two are the relays. Suspected and leaving members stay in
    the order, since they still serve.
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


def parents(order: tuple[str, ...], node_id: str) -> tuple[str, ...]:
    """Return the candidates for a node's parent, the preferred one first.

    They are its ancestors in a tree of width 8 under the two relays, then
    the other relay. A relay has none.
    """
    if node_id not in order:
        return order[:RELAYS]
    found: list[str] = []
    position = order.index(node_id)
    while position >= RELAYS:
        position = (position - RELAYS) // WIDTH
        found.append(order[position])
    if not found:
        return ()
    found += [relay for relay in order[:RELAYS] if relay not in found]
    return tuple(found)
