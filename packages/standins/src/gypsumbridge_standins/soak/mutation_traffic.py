"""Mutations of a soak run and their repeats."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.replay import control_routes
from gypsumbridge_standins.replay import delivery
from gypsumbridge_standins.soak import soak_state
from gypsumbridge_standins.soak import traffic

MEAN_GAP_MS = 80
DEADLINES_MS = (100, 500, 2_000)
LIFETIMES_MS = (3_000, 60_000, 60_000, 60_000)
REPEAT_SHARE = 0.4
OTHER_BODY_SHARE = 0.05
# Repeats come from the last mutations, many of which are still running.
RECENT = 8
SKEW_MS = 10_000


def send_mutations(state: soak_state.SoakState) -> None:
    """Send a mutation now and plan the next one."""
    if not state.sending:
        return
    random = state.replay.random
    delay_ms = round(random.expovariate(1.0) * MEAN_GAP_MS)
    state.replay.scheduler.after(delay_ms, lambda: send_mutations(state))
    node_id = traffic.balance(state)
    if node_id is None:
        return
    state.sent += 1
    if state.mutations and random.random() < REPEAT_SHARE:
        mutation = repeat(state)
    else:
        mutation = make(state)
    state.mutations.append(mutation)
    state.open[mutation.mutation_id] = (mutation, node_id, state.now_ms())
    delivery.deliver(state.replay, node_id, mutation)


def make(state: soak_state.SoakState) -> messages.Mutation:
    """Return the first request with a new key."""
    random = state.replay.random
    service = random.choice(build.SMALL_GROUPS)
    # Callers' clocks are as far apart as the nodes'.
    wall_ms = control_routes.EPOCH_MS + state.now_ms()
    expires_ms = wall_ms + random.randrange(SKEW_MS)
    return messages.Mutation(
        mutation_id=f'm{state.sent}',
        request_id=f'r{state.sent}',
        service=service.service,
        shard=f'set-{random.randrange(service.sets):02d}-0',
        rank=random.choice(build.RANKS).name,
        caller=f'caller-{random.randrange(4)}',
        deadline_ms=random.choice(DEADLINES_MS),
        idempotency_key=f'k{state.sent}',
        key_expires_at_ms=expires_ms + random.choice(LIFETIMES_MS),
        first_attempt=random.random() < 0.5,
        body=b'{}',
    )


def repeat(state: soak_state.SoakState) -> messages.Mutation:
    """Return a repeat, which now and then is another request."""
    random = state.replay.random
    earlier = random.choice(state.mutations[-RECENT:])
    body = earlier.body
    if random.random() < OTHER_BODY_SHARE:
        body = b'{"other":1}'
    return dataclasses.replace(
        earlier,
        mutation_id=f'm{state.sent}',
        request_id=f'r{state.sent}',
        first_attempt=False,
        deadline_ms=random.choice(DEADLINES_MS),
        body=body,
    )
