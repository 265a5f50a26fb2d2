"""Decides when a query is complete and builds its answer."""

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_decisions.front import command
from gypsumbridge_decisions.front import query_timer
from gypsumbridge_decisions.front import running_query
from gypsumbridge_decisions.front import send
from gypsumbridge_decisions.front import state as states


def finish_if_done(
    state: states.FrontState, running: running_query.RunningQuery, now_ms: int
) -> list[command.Command]:
    """End the query if it need not wait for further parts.

    That is the case if no shard is pending, if the minimum coverage can no
    longer be reached, or if it is reached after the early timer has fired.
    """
    minimum = running.service.minimum_coverage
    if not running.pending:
        return finish(
            state, running, messages.MissingReason.NO_ENDPOINT, now_ms
        )
    if running.reachable_coverage() < minimum:
        return finish(state, running, messages.MissingReason.CANCELLED, now_ms)
    if running.early_timer_passed and running.coverage() >= minimum:
        return finish(
            state, running, messages.MissingReason.GIVEN_UP_EARLY, now_ms
        )
    return []


def handle_query_timer(
    state: states.FrontState, timer: query_timer.QueryTimer, now_ms: int
) -> list[command.Command]:
    """Handle the early timer or the deadline of a query."""
    running = state.running.get(timer.query_id)
    if running is None:
        return []
    if timer.early:
        running.early_timer_passed = True
        return finish_if_done(state, running, now_ms)
    return finish(state, running, messages.MissingReason.DEADLINE, now_ms)


def cancel_query(
    state: states.FrontState, message: messages.QueryGone
) -> list[command.Command]:
    """Cancel a query whose caller has disconnected."""
    running = state.running.pop(message.query_id, None)
    if running is None:
        return []
    commands = send.cancel_batches(state, running)
    commands.append(messages.Count('front.caller_gone'))
    return commands


def finish(
    state: states.FrontState,
    running: running_query.RunningQuery,
    pending_reason: messages.MissingReason,
    now_ms: int,
) -> list[command.Command]:
    """End a query with an answer, or a refusal below the minimum coverage.

    Shards that are still pending are reported missing with
    `pending_reason`.
    """
    for shard in running.pending:
        running.missing[shard] = pending_reason
    running.pending = set()
    del state.running[running.query.query_id]
    commands = send.cancel_batches(state, running)
    missing = tuple(
        messages.MissingShard(shard, reason)
        for shard, reason in sorted(running.missing.items())
    )
    if running.coverage() < running.service.minimum_coverage:
        return commands + _refuse(running, missing)
    answer = messages.Answer(
        query_id=running.query.query_id,
        request_id=running.query.request_id,
        service=running.service.name,
        snapshot=running.version.name,
        coverage=running.coverage(),
        parts=tuple(part for _, part in sorted(running.covered.items())),
        missing=missing,
        attempts=running.attempts,
        elapsed_ms=now_ms - running.started_ms,
    )
    check_answer(answer, running.version)
    commands.append(answer)
    commands.append(messages.Count('front.answered'))
    return commands


def check_answer(
    answer: messages.Answer, version: resources.IndexVersion
) -> None:
    """Raise InvariantError unless the answer is consistent.

    Every shard of the version must be covered or missing exactly once, and
    all parts must be of the answer's snapshot.
    """
    covered = [part.shard for part in answer.parts]
    missing = [shard.shard for shard in answer.missing]
    if sorted(covered + missing) != sorted(version.shards):
        raise errors.InvariantError(
            f'answer {answer.query_id} has covered shards {covered} and'
            f' missing shards {missing}, which do not match the shard map of'
            f' {version.name}',
            'report this with the decision log of the query',
        )
    mixed = {p.version for p in answer.parts} - {answer.snapshot}
    if mixed:
        raise errors.InvariantError(
            f'answer {answer.query_id} of snapshot {answer.snapshot} contains'
            f' parts of {sorted(mixed)}',
            'report this with the decision log of the query',
        )


def _refuse(
    running: running_query.RunningQuery,
    missing: tuple[messages.MissingShard, ...],
) -> list[command.Command]:
    unreported = any(b.unreported for b in running.batches.values())
    run_state = messages.RunState.NOT_RUN
    if running.restarted or running.attempts or unreported:
        run_state = messages.RunState.OUTCOME_UNKNOWN
    query = running.query
    refusal = messages.Refusal(
        query_id=query.query_id,
        request_id=query.request_id,
        code='insufficient_coverage',
        run_state=run_state,
        message=(
            f'covered {running.coverage():.0%} of the shards of'
            f' {query.service}, fewer than the declared minimum'
            f' {running.service.minimum_coverage:.0%}'
        ),
        remedy='retry; see the reasons of the missing shards',
        missing=missing,
    )
    decision = messages.Decision(
        'refuse_query',
        'insufficient_coverage',
        {'query': query.query_id, 'missing': len(missing)},
    )
    return [refusal, decision, messages.Count('front.refused.coverage')]
