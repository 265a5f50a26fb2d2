"""Costs of owner look-ups and memberships, by the number of nodes."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import routing
from gypsumbridge_standins.capacity import slope
from gypsumbridge_standins.capacity import timing

NODE_COUNTS = (500, 1_000, 2_000, 4_000, 8_300)
DOMAINS = 26
LOOKUPS = 200


def make_members(count: int) -> tuple[messages.Member, ...]:
    """Return nodes spread evenly over the failure domains."""
    return tuple(
        messages.Member(
            f'node-{n:05d}', f'fd-{n % DOMAINS}', f'10.0.0.1:{n}', ''
        )
        for n in range(count)
    )


def measure() -> list[slope.Slope]:
    """Return the time of a look-up and of a membership change.

    The third slope is the memory of the members.
    """
    lookup = []
    change = []
    memory = []
    for size in NODE_COUNTS:
        members = make_members(size)
        domains = routing.make_domains(members)

        def find(domain_members=domains) -> None:
            for number in range(LOOKUPS):
                routing.find_ownership(domain_members, f'service\0{number}')

        lookup.append((size, timing.processor_us(find, 5) / LOOKUPS))
        change.append(
            (
                size,
                timing.processor_us(
                    lambda m=members: routing.make_domains(m), 10
                ),
            )
        )
        memory.append(
            (size, timing.memory_bytes(lambda n=size: make_members(n)))
        )
    return [
        slope.fit_slope('owner look-up', 'nodes', 'us', lookup),
        slope.fit_slope('membership change', 'nodes', 'us', change),
        slope.fit_slope('membership memory', 'nodes', 'bytes', memory),
    ]
