"""Reports the results of attempts to the forwarding task."""

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import attempt_job
from gypsumbridge_node.gateway import searcher_pool
from gypsumbridge_node.gateway import searchers_context

Outcome = forwarding.AttemptOutcome
Ended = forwarding.AttemptEnded


def report(
    context: searchers_context.SearchersContext,
    job: attempt_job.AttemptJob,
    ended: Ended,
) -> None:
    """Report the result of an attempt to the forwarding task."""
    context.state.jobs.pop(job.command.attempt_id, None)
    if job.grace_timer is not None:
        job.grace_timer.cancel()
        job.grace_timer = None
    context.runtime.mailboxes.forwarding.put(ended)


def report_not_sent(
    context: searchers_context.SearchersContext,
    job: attempt_job.AttemptJob,
    detail: str,
) -> None:
    """Report that no byte of an attempt has left this node."""
    ended = Ended(job.command.attempt_id, Outcome.NOT_SENT, detail=detail)
    report(context, job, ended)


def reject_waiting(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
    detail: str = 'searcher_closed',
) -> None:
    """Fail the attempts that wait for a searcher that may not be used.

    The forwarding task sends them to other searchers.
    """
    while pool.waiting:
        report_not_sent(context, pool.waiting.popleft(), detail)


def count_unusable(
    context: searchers_context.SearchersContext, reason: str
) -> None:
    """Count a response that this node gave up on, by its reason."""
    context.runtime.metrics.count(f'searchers.unusable_responses.{reason}')
