"""Faulty variants of the claim protocol that the check must reject."""

import dataclasses
from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import mutation
from gypsumbridge_standins.models import claim_steps

FAILED = messages.PartOutcome.FAILED


def make_mutants() -> dict[str, claim_steps.ClaimSteps]:
    """Return the mutants by the fault that each has."""
    return {
        'send again after a lost result': claim_steps.ClaimSteps(
            receive_result=_send_again
        ),
        'release after an unknown result': claim_steps.ClaimSteps(
            receive_result=_release_after_unknown
        ),
        'claim again after a lost claim reply': claim_steps.ClaimSteps(
            receive_store_reply=_overwrite_claim
        ),
        'send after the deadline': claim_steps.ClaimSteps(
            receive_store_reply=_ignore_deadline
        ),
        'not_run without the claim': claim_steps.ClaimSteps(
            receive_store_reply=_report_not_run
        ),
        'send under a resolved claim': claim_steps.ClaimSteps(
            receive_store_reply=_ignore_phase
        ),
    }


def _send_again(run: Any, outcome: Any, *rest: Any) -> Any:
    if outcome == FAILED and run.stage == mutation.Stage.SENT:
        return run, [mutation.SendMutation()]
    return mutation.receive_result(run, outcome, *rest)


def _release_after_unknown(run: Any, outcome: Any, *rest: Any) -> Any:
    if outcome == FAILED and run.stage == mutation.Stage.SENT:
        return mutation.release(run, run.held_revision)
    return mutation.receive_result(run, outcome, *rest)


def _overwrite_claim(run: Any, reply: Any, timing: Any) -> Any:
    """Treat any stored claim as the node's own and overwrite it."""
    if run.stage == mutation.Stage.READING and run.maybe_written:
        if reply.items and timing == mutation.Timing.IN_TIME:
            claiming = dataclasses.replace(run, stage=mutation.Stage.CLAIMING)
            write = mutation.WriteClaim(run.claim, reply.items[0].revision)
            return claiming, [write]
    return mutation.receive_store_reply(run, reply, timing)


def _ignore_deadline(run: Any, reply: Any, timing: Any) -> Any:
    if run.stage == mutation.Stage.CLAIMING:
        unanswered = dataclasses.replace(run, answered=False)
        in_time = mutation.Timing.IN_TIME
        return mutation.receive_store_reply(unanswered, reply, in_time)
    return mutation.receive_store_reply(run, reply, timing)


def _report_not_run(run: Any, reply: Any, timing: Any) -> Any:
    run, actions = mutation.receive_store_reply(run, reply, timing)
    unknown = mutation.AnswerKind.OUTCOME_UNKNOWN
    return run, [
        mutation.AnswerCaller(mutation.AnswerKind.NOT_RUN, action.code)
        if isinstance(action, mutation.AnswerCaller) and action.kind == unknown
        else action
        for action in actions
    ]


def _ignore_phase(run: Any, reply: Any, timing: Any) -> Any:
    """Send when the node reads its own nonce, in any phase of the claim."""
    for item in reply.items:
        if run.stage != mutation.Stage.READING:
            break
        if item.claim.nonce == run.claim.nonce:
            sent = dataclasses.replace(
                run,
                stage=mutation.Stage.SENT,
                held_revision=item.revision,
            )
            return sent, [mutation.SendMutation()]
    return mutation.receive_store_reply(run, reply, timing)
