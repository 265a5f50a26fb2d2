"""The nodes of the claim model; they run the program's own steps."""

from collections.abc import Iterable
import dataclasses
from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import mutation
from gypsumbridge_standins.models import claim_request
from gypsumbridge_standins.models import claim_steps
from gypsumbridge_standins.models import claim_store
from gypsumbridge_standins.models import claim_world


def node_moves(
    world: claim_world.ClaimWorld, number: int, steps: claim_steps.ClaimSteps
) -> claim_store.Moves:
    """Yield every step that a request's node may take now.

    A pause is a node that takes none while the others do.
    """
    request = world.requests[number]
    if not request.started:
        if may_start(world, number):
            yield 'start', start(world, number)
        return
    if not request.late:
        late = dataclasses.replace(request, late=True)
        yield 'deadline passes', world.replace_request(number, late)
    run = request.run
    if run is None:
        return
    if world.faults:
        yield 'killed', kill(world.spend_fault(), number)
    timing = _timing(world, request)
    if request.reply is not None:
        taken = dataclasses.replace(request, reply=None)
        step = steps.receive_store(run, request.reply, timing)
        yield 'store reply', perform(world, number, taken, step)
    if request.result is not None:
        taken = dataclasses.replace(request, result=None)
        step = steps.receive_result(run, request.result, 'owner', b'', timing)
        yield 'result', perform(world, number, taken, step)
    if request.resuming:
        taken = dataclasses.replace(request, resuming=False)
        yield 'resume', perform(world, number, taken, steps.resume(run))
    if not run.answered:
        step = steps.pass_deadline(run, 'deadline', timing)
        yield 'deadline timer', perform(world, number, request, step)


def may_start(world: claim_world.ClaimWorld, number: int) -> bool:
    """Say whether the caller may send this request.

    After a first attempt it repeats only when that was answered, is late
    or lost its node; other requests are sent at any time.
    """
    if world.expired:
        return False
    if not number:
        return True
    first = world.requests[0]
    if not first.first_attempt:
        return True
    return first.started and bool(
        first.told or first.late or first.run is None
    )


def start(
    world: claim_world.ClaimWorld, number: int
) -> claim_world.ClaimWorld:
    """Return the state after a request reached its node."""
    request = world.requests[number]
    claim = messages.Claim(
        phase=messages.ClaimPhase.CLAIMED,
        claimant='',
        nonce=request.nonce,
        fingerprint=request.fingerprint,
        key_expires_at_ms=0,
        send_before_ms=0,
    )
    run = mutation.ClaimRun(claim, request.first_attempt)
    started = dataclasses.replace(request, started=True)
    return perform(world, number, started, mutation.start_claim(run))


def kill(world: claim_world.ClaimWorld, number: int) -> claim_world.ClaimWorld:
    """Return the state after a node was killed; its writes may go on."""
    request = world.requests[number]
    delayed = request.delayed
    if isinstance(request.call, mutation.WriteClaim):
        delayed |= {request.call}
    killed = dataclasses.replace(
        request,
        run=None,
        call=None,
        reply=None,
        result=None,
        resuming=False,
        delayed=delayed,
    )
    return world.replace_request(number, killed)


def perform(
    world: claim_world.ClaimWorld,
    number: int,
    request: claim_request.ClaimRequest,
    step: tuple[mutation.ClaimRun, Iterable[Any]],
) -> claim_world.ClaimWorld:
    """Carry out the actions of a step, in their order."""
    run, actions = step
    wrong = world.wrong
    changes: dict[str, Any] = {'run': run}
    for action in actions:
        match action:
            case mutation.AnswerCaller():
                changes['told'] = str(action.kind)
                not_run = action.kind == mutation.AnswerKind.NOT_RUN
                if not_run and world.executed():
                    wrong = 'not_run was said after an execution'
            case mutation.SendMutation():
                changes['sent'] = True
                claim = world.claim
                if claim and claim.phase == messages.ClaimPhase.RESOLVED:
                    wrong = 'a resolved claim was sent'
                if request.late:
                    wrong = 'sent after the deadline'
            case mutation.RetryLater():
                changes['resuming'] = True
            case _:
                changes['call'] = action
    if run.stage == mutation.Stage.ENDED:
        # An ended run takes nothing more; one state for all of them.
        changes |= {'run': None, 'call': None, 'reply': None, 'late': True}
    done = dataclasses.replace(request, **changes)
    after = world.replace_request(number, done)
    return dataclasses.replace(after, wrong=wrong)


def _timing(
    world: claim_world.ClaimWorld, request: claim_request.ClaimRequest
) -> mutation.Timing:
    if world.expired:
        return mutation.Timing.EXPIRED
    if request.late:
        return mutation.Timing.LATE
    return mutation.Timing.IN_TIME
