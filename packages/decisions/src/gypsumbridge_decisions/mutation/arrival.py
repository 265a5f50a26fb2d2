"""Validates arriving mutations and starts their claims."""

import hashlib

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_decisions.mutation import claim_run
from gypsumbridge_decisions.mutation import claiming
from gypsumbridge_decisions.mutation import command
from gypsumbridge_decisions.mutation import execution
from gypsumbridge_decisions.mutation import mutation_timer
from gypsumbridge_decisions.mutation import running_mutation
from gypsumbridge_decisions.mutation import state as states
from gypsumbridge_decisions.mutation import timer_kind

# Bounds memory, since each running mutation holds a body of up to 1 MiB. About
# 200 mutations start each second at several hundred store writes a second.
MAX_RUNNING = 1_000
# Subtracted from the caller's deadline so that the answer arrives before the
# caller's own timeout.
ANSWER_MARGIN_MS = 5
# Time after the deadline during which a late result is still recorded.
LATE_RESULT_MS = 60_000


def receive_mutation(
    state: states.MutationState,
    mutation: messages.Mutation,
    now_ms: int,
    wall_ms: int,
) -> list[command.Command]:
    """Refuse a mutation before it is claimed, or start the claim."""
    service = state.catalog.services.get(mutation.service)
    code = _refusal_code(state, mutation, service, now_ms, wall_ms)
    if code or service is None:
        return execution.refuse_unclaimed(state, mutation, code)
    version = service.version(service.current_version)
    replica_set = version.shards[mutation.shard] if version else ''
    owner = state.ownership.find(service, replica_set).owner
    if owner is None:
        return execution.refuse_unclaimed(
            state, mutation, str(messages.MissingReason.NO_OWNER)
        )
    claim = messages.Claim(
        phase=messages.ClaimPhase.CLAIMED,
        claimant=state.node_id,
        nonce=mutation.mutation_id,
        fingerprint=fingerprint(mutation),
        key_expires_at_ms=mutation.key_expires_at_ms,
        send_before_ms=wall_ms + mutation.deadline_ms,
    )
    running = running_mutation.RunningMutation(
        mutation=mutation,
        replica_set=replica_set,
        version=service.current_version,
        owner=owner,
        run=claim_run.ClaimRun(claim, mutation.first_attempt),
        deadline_at_ms=now_ms + mutation.deadline_ms,
    )
    state.running[mutation.mutation_id] = running
    commands = _make_timers(mutation)
    commands += execution.apply_step(
        state, running, claiming.start_claim(running.run), now_ms
    )
    return commands


def fingerprint(mutation: messages.Mutation) -> str:
    """Return a hash of the fields that identify a request.

    Rank, caller and deadline may differ between repeats of a request.
    """
    digest = hashlib.sha256()
    for part in (mutation.service, mutation.shard):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, 'big') + encoded)
    digest.update(mutation.body)
    return digest.hexdigest()


def _refusal_code(
    state: states.MutationState,
    mutation: messages.Mutation,
    service: resources.Service | None,
    now_ms: int,
    wall_ms: int,
) -> str:
    refusal = state.serving.refusal_at(now_ms)
    if refusal:
        return str(refusal)
    if wall_ms >= mutation.key_expires_at_ms:
        return 'key_expired'
    latest_ms = wall_ms + state.limits.max_key_lifetime_ms
    if mutation.key_expires_at_ms > latest_ms:
        return 'key_expiry_too_late'
    if len(state.running) >= MAX_RUNNING:
        return str(messages.MissingReason.OVERLOAD)
    if service is None:
        return 'unknown_service'
    if mutation.rank not in state.catalog.ranks:
        return 'unknown_rank'
    version = service.version(service.current_version)
    if version is None or mutation.shard not in version.shards:
        return 'unknown_shard'
    return ''


def _make_timers(mutation: messages.Mutation) -> list[command.Command]:
    wait_ms = max(mutation.deadline_ms - ANSWER_MARGIN_MS, 1)
    times = (
        (wait_ms, timer_kind.TimerKind.DEADLINE),
        (mutation.deadline_ms + LATE_RESULT_MS, timer_kind.TimerKind.DROP),
    )
    return [
        messages.Timer(
            delay_ms, mutation_timer.MutationTimer(mutation.mutation_id, kind)
        )
        for delay_ms, kind in times
    ]
