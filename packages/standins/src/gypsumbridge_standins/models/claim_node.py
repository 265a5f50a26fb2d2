"""The nodes of the claim model, which run the decisions' own steps."""

from collections.abc import Iterable
import dataclasses
from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import mutation
from gypsumbridge_standins.models import claim_request
from gypsumbridge_standins.models import claim_steps
from gypsumbridge_standins.models import claim_store
from gypsumbridge_standins.models import claim_world


def node_transitions(
    world: claim_world.ClaimWorld, number: int, steps: claim_steps.ClaimSteps
) -> claim_store.Transitions:
    """Yield every transition of a request's node.

    A paused node is modelled by transitions of the others alone.
    """
    request = world.requests[number]
    if not request.started:
        if may_start(world, number):
            yield 'start', start(world, number)
        return
    if not request.deadline_passed:
        timed_out = dataclasses.replace(request, deadline_passed=True)
        yield 'deadline passes', world.replace_request(number, timed_out)
    run = request.run
    if run is None:
        return
    if world.faults:
        yield 'killed', kill(world.use_fault(), number)
    timing = _timing(world, request)
    if request.reply is not None:
        handled = dataclasses.replace(request, reply=None)
        step = steps.receive_store_reply(run, request.reply, timing)
        yield 'store reply', apply_actions(world, number, handled, step)
    if request.result is not None:
        handled = dataclasses.replace(request, result=None)
        step = steps.receive_result(run, request.result, 'owner', b'', timing)
        yield 'result', apply_actions(world, number, handled, step)
    if request.retry_pending:
        handled = dataclasses.replace(request, retry_pending=False)
        yield (
            'resume',
            apply_actions(world, number, handled, steps.resume(run)),
        )
    if not run.answered:
        step = steps.handle_deadline(run, 'deadline', timing)
        yield 'deadline timer', apply_actions(world, number, request, step)


def may_start(world: claim_world.ClaimWorld, number: int) -> bool:
    """Return whether the caller may send this request.

    It repeats a first attempt only after that was answered, passed its
    deadline or lost its node; other requests are sent at any time.
    """
    if world.expired:
        return False
    if not number:
        return True
    first = world.requests[0]
    if not first.first_attempt:
        return True
    return first.started and bool(
        first.answer or first.deadline_passed or first.run is None
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
    return apply_actions(world, number, started, mutation.start_claim(run))


def kill(world: claim_world.ClaimWorld, number: int) -> claim_world.ClaimWorld:
    """Return the state after a node was killed.

    A write in flight may still be applied at any later time.
    """
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
        retry_pending=False,
        delayed=delayed,
    )
    return world.replace_request(number, killed)


def apply_actions(
    world: claim_world.ClaimWorld,
    number: int,
    request: claim_request.ClaimRequest,
    step: tuple[mutation.ClaimRun, Iterable[Any]],
) -> claim_world.ClaimWorld:
    """Return the state after the actions of a step, in their order."""
    run, actions = step
    violation = world.violation
    changes: dict[str, Any] = {'run': run}
    for action in actions:
        match action:
            case mutation.AnswerCaller():
                changes['answer'] = str(action.kind)
                not_run = action.kind == mutation.AnswerKind.NOT_RUN
                if not_run and world.executed():
                    violation = 'not_run was answered after an execution'
            case mutation.SendMutation():
                changes['sent'] = True
                claim = world.claim
                if claim and claim.phase == messages.ClaimPhase.RESOLVED:
                    violation = 'a resolved claim was sent'
                if request.deadline_passed:
                    violation = 'sent after the deadline'
            case mutation.RetryLater():
                changes['retry_pending'] = True
            case _:
                changes['call'] = action
    if run.stage == mutation.Stage.ENDED:
        # An ended run handles no more events; dropping its fields makes
        # equivalent states equal.
        changes |= {
            'run': None,
            'call': None,
            'reply': None,
            'deadline_passed': True,
        }
    updated = dataclasses.replace(request, **changes)
    after = world.replace_request(number, updated)
    return dataclasses.replace(after, violation=violation)


def _timing(
    world: claim_world.ClaimWorld, request: claim_request.ClaimRequest
) -> mutation.Timing:
    if world.expired:
        return mutation.Timing.EXPIRED
    if request.deadline_passed:
        return mutation.Timing.LATE
    return mutation.Timing.IN_TIME
