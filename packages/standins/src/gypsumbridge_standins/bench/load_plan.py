"""When which query is due."""

import random
from typing import Any

from gypsumbridge_decisions import resources
from gypsumbridge_standins.deployment import build

REPLICAS_PER_SET = 2


def make_plan(
    services: list[resources.Service],
    rank: resources.Rank,
    share: float,
    service_ms: float,
    duration_s: float,
    seed: int,
) -> list[dict[str, Any]]:
    """Return the queries of one rank as a Poisson process a service.

    `share` is of the service's slots; 1.0 keeps them all busy. `due_s`
    counts from the start of the run.
    """
    plan = []
    for service in services:
        draw = random.Random(f'{seed} {service.name} {rank.name}')
        slots = build.SLOTS * REPLICAS_PER_SET
        # Each query takes one slot of every replica set for one search.
        rate = share * slots * 1_000 / service_ms
        due_s = draw.expovariate(rate)
        while due_s < duration_s:
            body = {
                'service': service.name,
                'rank': rank.name,
                'caller': f'caller-{draw.randrange(4)}',
                'deadline_ms': rank.target_ms * 2,
                'query': {'number': len(plan)},
            }
            plan.append({'due_s': due_s, 'body': body})
            due_s += draw.expovariate(rate)
    return sorted(plan, key=lambda item: item['due_s'])
