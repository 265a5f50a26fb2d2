"""Demand that moves between the failure domains in a wave."""

import math
import random

from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import soak_state

PERIOD_MS = 8_000
# The least demand of a failure domain is this part of the mean.
LEAST = 0.1


def pick_node(
    state: soak_state.SoakState, rng: random.Random, now_ms: int
) -> str:
    """Return the gateway to which a caller sends its next request."""
    nodes = sorted(state.cluster.nodes)
    if not state.plan.wave:
        return rng.choice(nodes)
    domains = [state.cluster.nodes[node].failure_domain for node in nodes]
    weights = [weight_at(domain, now_ms) for domain in domains]
    return rng.choices(nodes, weights)[0]


def weight_at(domain: str, now_ms: int) -> float:
    """Return the demand of a failure domain, relative to the mean."""
    phase = deployment.DOMAINS.index(domain) / len(deployment.DOMAINS)
    angle = 2 * math.pi * (now_ms / PERIOD_MS + phase)
    return 1 + (1 - LEAST) * math.sin(angle)
