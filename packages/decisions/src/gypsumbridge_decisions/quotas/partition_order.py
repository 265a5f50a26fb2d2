"""The partitions of a customer, in the order in which they are asked."""

from gypsumbridge_decisions.routing import rendezvous


def order_partitions(customer: str, partitions: int) -> tuple[int, ...]:
    """Return all partitions in the rendezvous order of a customer.

    A customer whose tokens do not suffice for all uses the first ones only.
    """
    return tuple(
        sorted(
            range(partitions),
            key=lambda p: (-rendezvous.weight(str(p), customer), p),
        )
    )


def start_with(order: tuple[int, ...], first: int | None) -> tuple[int, ...]:
    """Return the order rotated so that it starts with a partition."""
    if first is None or first not in order:
        return order
    position = order.index(first)
    return order[position:] + order[:position]
