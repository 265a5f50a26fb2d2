"""Decides the answer that a run gives to its caller."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.mutation import answer_caller
from gypsumbridge_decisions.mutation import answer_kind
from gypsumbridge_decisions.mutation import claim_run
from gypsumbridge_decisions.mutation import step
from gypsumbridge_decisions.mutation import timing as timings


def answer(
    run: claim_run.ClaimRun,
    kind: answer_kind.AnswerKind,
    code: str = '',
    claim: messages.Claim | None = None,
) -> step.Step:
    """Answer the caller unless it has been answered already."""
    if run.answered:
        return run, []
    answered = dataclasses.replace(run, answered=True)
    return answered, [answer_caller.AnswerCaller(kind, code, claim)]


def refuse(
    run: claim_run.ClaimRun, code: str, timing: timings.Timing
) -> step.Step:
    """Refuse a request that holds no claim and was not sent.

    After the deadline the caller may have repeated the request at another
    node, so that not even a first attempt is reported as not_run.
    """
    kind = answer_kind.AnswerKind.OUTCOME_UNKNOWN
    if run.first_attempt and timing == timings.Timing.IN_TIME:
        kind = answer_kind.AnswerKind.NOT_RUN
    return answer(run, kind, code)


def refuse_held(
    run: claim_run.ClaimRun, code: str, timing: timings.Timing
) -> step.Step:
    """Refuse a request that holds the claim and was certainly not run."""
    kind = answer_kind.AnswerKind.NOT_RUN
    if timing == timings.Timing.EXPIRED:
        kind = answer_kind.AnswerKind.OUTCOME_UNKNOWN
    return answer(run, kind, code)
