"""Plans queries with their due times."""

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
    """Return the queries of one rank, a Poisson process per service.

    `share` is the share of the service's slots in use; 1.0 keeps all of
    them busy. `due_s` is relative to the start of the run.
    """
    plan = []
    for service in services:
        rng = random.Random(f'{seed} {service.name} {rank.name}')
        slots = build.SLOTS * REPLICAS_PER_SET
        # Each query uses one slot of every replica set for one search.
        rate = share * slots * 1_000 / service_ms
        due_s = rng.expovariate(rate)
        while due_s < duration_s:
            body = {
                'service': service.name,
                'rank': rank.name,
                'caller': f'caller-{rng.randrange(4)}',
                'deadline_ms': rank.target_ms * 2,
                'query': {'number': len(plan)},
            }
            plan.append({'due_s': due_s, 'body': body})
            due_s += rng.expovariate(rate)
    return sorted(plan, key=lambda item: item['due_s'])
