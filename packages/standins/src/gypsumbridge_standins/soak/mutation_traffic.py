"""Mutations of a soak and their repeats."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.replay import control_routes
from gypsumbridge_standins.replay import delivery
from gypsumbridge_standins.soak import soak_state
from gypsumbridge_standins.soak import traffic

MEAN_INTERVAL_MS = 80
DEADLINES_MS = (100, 500, 2_000)
LIFETIMES_MS = (3_000, 60_000, 60_000, 60_000)
REPEAT_SHARE = 0.4
OTHER_BODY_SHARE = 0.05
# Repeats are drawn from the last mutations, many of which are still running.
RECENT_MUTATIONS = 8
SKEW_MS = 10_000


def send_mutations(state: soak_state.SoakState) -> None:
    """Send a mutation now and schedule the next one."""
    if not state.sending:
        return
    random = state.replay.random
    delay_ms = round(random.expovariate(1.0) * MEAN_INTERVAL_MS)
    state.replay.scheduler.after(delay_ms, lambda: send_mutations(state))
    node_id = traffic.choose_node(state)
    if node_id is None:
        return
    state.sent += 1
    if state.mutations and random.random() < REPEAT_SHARE:
        mutation = make_repeat(state)
    else:
        mutation = make_mutation(state)
    state.mutations.append(mutation)
    state.open_requests[mutation.mutation_id] = (
        mutation,
        node_id,
        state.now_ms(),
    )
    delivery.deliver(state.replay, node_id, mutation)


def make_mutation(state: soak_state.SoakState) -> messages.Mutation:
    """Return a mutation with a new key."""
    random = state.replay.random
    service = random.choice(build.SMALL_GROUPS)
    # Callers' clocks differ by as much as the nodes' clocks.
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


def make_repeat(state: soak_state.SoakState) -> messages.Mutation:
    """Return a repeat of a recent mutation, at times with another body."""
    random = state.replay.random
    earlier = random.choice(state.mutations[-RECENT_MUTATIONS:])
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
