"""The store, the owner and the operator of the claim model."""

from collections.abc import Iterator
import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import mutation
from gypsumbridge_standins.models import claim_world

Transitions = Iterator[tuple[str, claim_world.ClaimWorld]]
_STATUSES = messages.StoreStatus


def apply_write(
    world: claim_world.ClaimWorld, write: mutation.WriteClaim
) -> tuple[claim_world.ClaimWorld, messages.ClaimReply]:
    """Return the state and reply after a compare-and-swap."""
    if world.revision != write.expected_revision:
        return world, messages.ClaimReply('', _STATUSES.CONFLICT)
    revision = world.unused_revision()
    written = dataclasses.replace(world, claim=write.claim, revision=revision)
    return written, messages.ClaimReply('', _STATUSES.OK, revision)


def store_transitions(
    world: claim_world.ClaimWorld, number: int
) -> Transitions:
    """Yield every transition of the store for a request.

    An outage refuses the call. After a lost reply the write may have been
    applied, may be applied later, or never.
    """
    request = world.requests[number]
    for write in request.delayed:
        rest = dataclasses.replace(request, delayed=request.delayed - {write})
        applied, _ = apply_write(world, write)
        yield 'delayed write arrives', applied.replace_request(number, rest)
    call = request.call
    if call is None:
        return

    def with_reply(
        after: claim_world.ClaimWorld, reply: messages.ClaimReply
    ) -> claim_world.ClaimWorld:
        answered = dataclasses.replace(request, call=None, reply=reply)
        return after.replace_request(number, answered)

    if world.faults:
        refused = messages.ClaimReply('', _STATUSES.UNAVAILABLE)
        yield 'store refuses', with_reply(world.use_fault(), refused)
    if isinstance(call, mutation.ReadClaim):
        yield 'store reads', with_reply(world, _read(world))
        return
    applied, reply = apply_write(world, call)
    yield 'store writes', with_reply(applied, reply)
    if not world.faults:
        return
    unknown = messages.ClaimReply('', _STATUSES.UNKNOWN)
    yield 'store writes, reply lost', with_reply(applied.use_fault(), unknown)
    delayed = dataclasses.replace(
        request, call=None, reply=unknown, delayed=request.delayed | {call}
    )
    spent = world.use_fault()
    yield 'write delayed, reply lost', spent.replace_request(number, delayed)


def owner_transitions(
    world: claim_world.ClaimWorld, number: int
) -> Transitions:
    """Yield every transition of owner and endpoint for a sent mutation."""
    request = world.requests[number]
    if not request.sent:
        return
    outcomes = messages.PartOutcome
    for label, runs, result, faults in (
        ('owner refuses', 0, outcomes.NOT_RUN, 0),
        ('endpoint runs', 1, outcomes.COVERED, 0),
        ('endpoint runs, reply lost', 1, outcomes.FAILED, 1),
        ('lost on the way', 0, outcomes.FAILED, 1),
    ):
        if faults > world.faults:
            continue
        updated = dataclasses.replace(
            request,
            sent=False,
            result=result,
            executed=request.executed + runs,
        )
        after = world.use_fault() if faults else world
        yield label, after.replace_request(number, updated)


def operator_transitions(world: claim_world.ClaimWorld) -> Transitions:
    """Yield expiry, removal of an expired claim, and resolution.

    An operator can resolve a claim once its holder's deadline has passed.
    """
    if not world.expired and world.faults:
        timed_out = tuple(
            dataclasses.replace(request, deadline_passed=True)
            for request in world.requests
        )
        expired = dataclasses.replace(world, expired=True, requests=timed_out)
        yield 'key expires', expired.use_fault()
    if world.claim is None:
        return
    if world.expired:
        yield 'sweep', dataclasses.replace(world, claim=None, revision=0)
    if world.claim.phase != messages.ClaimPhase.CLAIMED:
        return
    for request in world.requests:
        if request.nonce == world.claim.nonce and not request.deadline_passed:
            return
    resolved = dataclasses.replace(
        world.claim, phase=messages.ClaimPhase.RESOLVED
    )
    write = mutation.WriteClaim(resolved, world.revision)
    yield 'operator resolves', apply_write(world, write)[0]


def _read(world: claim_world.ClaimWorld) -> messages.ClaimReply:
    if world.claim is None:
        return messages.ClaimReply('', _STATUSES.NOT_FOUND)
    item = messages.ClaimItem('key', world.claim, world.revision)
    return messages.ClaimReply('', _STATUSES.OK, world.revision, (item,))
