"""Draws the faults of a run from its seed."""

import random

from gypsumbridge_standins.fault_soak import fault as faults
from gypsumbridge_standins.fault_soak import soak_plan

# Relative frequency of each kind.
KINDS = {
    'kill': 2,
    'pause': 2,
    'stop': 3,
    'reload': 1,
    'callers_delay': 1,
    'callers_reset': 1,
    'callers_silence': 1,
    'callers_cut_requests': 1,
    'callers_cut_responses': 1,
    'store_delay': 1,
    'store_reset': 1,
    'store_silence': 1,
    'store_cut_requests': 1,
    'store_cut_responses': 1,
    'peers_delay': 1,
    'peers_reset': 1,
    'peers_silence': 1,
    'peers_cut_requests': 1,
    'peers_cut_responses': 1,
    'searchers_delay': 1,
    'searchers_reset': 1,
    'searchers_silence': 1,
    'searchers_cut_requests': 1,
    'searchers_cut_responses': 1,
    'searchers_kill': 1,
    'searchers_pause': 1,
    'searcher_silent': 1,
    'searcher_truncate': 1,
    'searcher_garbage': 1,
    'searcher_extra': 1,
    'searcher_error': 1,
    'searcher_shed': 1,
    'searcher_stray': 1,
    'searcher_busy': 2,
    'searcher_endless_head': 1,
    'searcher_endless_body': 1,
    'drain': 3,
    'leave': 3,
    'unreadable_entry': 1,
    'outage': 1,
    'compact': 1,
    'configure': 4,
    'drill': 3,
    'replace': 2,
    'slow_down': 3,
}
# Other faults excuse lost requests for seconds, so every fourth seed draws
# planned work alone, during which no request may be lost.
PLANNED_KINDS = (
    'stop',
    'reload',
    'drain',
    'leave',
    'unreadable_entry',
    'compact',
    'configure',
    'drill',
    'replace',
    'slow_down',
)
PLANNED_SEED_REMAINDER = 3
# With other seeds every gateway watches the store itself, as in a small fleet.
RELAYED_SEED_REMAINDERS = (0, 2, 3)
# Evacuations are drawn apart from the other faults, which are therefore those
# that a seed drew before. They last longer than the bound, so few fit.
MEAN_EVACUATION_INTERVAL_MS = 6_000
MAX_FIRST_EVACUATION_MS = 4_000
# With one seed in five the store states no era, and is never restored.
NO_ERA_SEED_REMAINDER = 4
ERA_SEEDS = 5
# With every third seed the demand moves between the failure domains.
WAVE_SEEDS = 3
MEAN_INTERVAL_MS = 500
MEAN_LENGTH_MS = 1_500
MAX_LENGTH_MS = 6_000
# Some faults are a series of the same kind.
SERIES_PROBABILITY = 0.3
SERIES_INTERVAL_MS = 150
MAX_IN_SERIES = 3


def draw_plan(seed: int, seconds: int, gateways: int) -> soak_plan.SoakPlan:
    """Return the plan of a seed."""
    rng = random.Random(f'plan {seed}')
    weights = KINDS
    if seed % 4 == PLANNED_SEED_REMAINDER:
        weights = {kind: KINDS[kind] for kind in PLANNED_KINDS}
    eras = seed % ERA_SEEDS != NO_ERA_SEED_REMAINDER
    if not eras:
        weights = {kind: weights[kind] for kind in weights if kind != 'drill'}
    drawn = []
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(1 / MEAN_INTERVAL_MS)
        if at_ms >= seconds * 1_000:
            break
        kind = rng.choices(tuple(weights), tuple(weights.values()))[0]
        count = 1
        if rng.random() < SERIES_PROBABILITY:
            count = rng.randint(2, MAX_IN_SERIES)
        for number in range(count):
            length_ms = rng.expovariate(1 / MEAN_LENGTH_MS)
            drawn.append(
                faults.Fault(
                    int(at_ms) + number * SERIES_INTERVAL_MS,
                    kind,
                    rng.random(),
                    min(int(length_ms), MAX_LENGTH_MS),
                )
            )
    drawn += draw_evacuations(seed, seconds)
    drawn.sort(key=lambda fault: fault.at_ms)
    return soak_plan.SoakPlan(
        seed,
        seconds,
        gateways,
        tuple(drawn),
        seed % 4 in RELAYED_SEED_REMAINDERS,
        eras,
        seed % WAVE_SEEDS == 0,
    )


def draw_evacuations(seed: int, seconds: int) -> list[faults.Fault]:
    """Return the evacuations of a seed, of which one runs at a time."""
    rng = random.Random(f'evacuations {seed}')
    drawn = []
    # The first one begins early, so that each run has one past its bound.
    at_ms = rng.random() * MAX_FIRST_EVACUATION_MS
    while at_ms < seconds * 1_000:
        length_ms = rng.expovariate(1 / MEAN_LENGTH_MS)
        drawn.append(
            faults.Fault(
                int(at_ms),
                'evacuate',
                rng.random(),
                min(int(length_ms), MAX_LENGTH_MS),
            )
        )
        at_ms += rng.expovariate(1 / MEAN_EVACUATION_INTERVAL_MS)
    return drawn
