"""Removes claims whose key has expired.

Every second all nodes compute the same bucket, and the node that owns it
lists it and deletes the expired claims. All nodes together cause one list
and at most `MAX_DELETES` deletes a second in the store.
"""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import routing
from gypsumbridge_decisions.mutation import command
from gypsumbridge_decisions.mutation import state as states
from gypsumbridge_decisions.mutation import sweep_timer

SWEEP_INTERVAL_MS = 1_000
# 4.3 million claims (50 a second with a key lifetime of a day) make about
# 1,000 claims in a bucket, or 400 kB in one list.
BUCKETS = 4_096
MAX_DELETES = 50
LIST_TOKEN = 'sweep-list'
DELETE_TOKEN = 'sweep-delete'


def sweep(state: states.MutationState, wall_ms: int) -> list[command.Command]:
    """List the current bucket if this node owns it."""
    commands: list[command.Command] = [
        messages.Timer(SWEEP_INTERVAL_MS, sweep_timer.SweepTimer())
    ]
    bucket = wall_ms // SWEEP_INTERVAL_MS % BUCKETS
    key = f'claims\0{bucket}'
    owner = routing.find_ownership(state.ownership.domains, key).owner
    if owner == state.node_id:
        commands.append(
            messages.ClaimCall(
                LIST_TOKEN, messages.StoreOperation.LIST, str(bucket)
            )
        )
    return commands


def receive_list(
    state: states.MutationState, reply: messages.ClaimReply, wall_ms: int
) -> list[command.Command]:
    """Delete up to `MAX_DELETES` expired claims of a bucket.

    A node refuses requests whose key has expired on its own clock. A claim
    is deleted only after the expiry plus the configured clock skew, when
    all nodes refuse its key.
    """
    expired_before_ms = wall_ms - state.limits.clock_skew_ms
    expired = [
        item
        for item in reply.items
        if item.claim.key_expires_at_ms < expired_before_ms
    ]
    return [
        messages.ClaimCall(
            DELETE_TOKEN,
            messages.StoreOperation.DELETE,
            item.key,
            expected_revision=item.revision,
        )
        for item in expired[:MAX_DELETES]
    ]
