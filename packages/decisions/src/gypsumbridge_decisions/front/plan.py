"""Plans a caller's query as batches for owners."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_decisions.front import command
from gypsumbridge_decisions.front import finishing
from gypsumbridge_decisions.front import query_timer
from gypsumbridge_decisions.front import running_query
from gypsumbridge_decisions.front import send
from gypsumbridge_decisions.front import state as states

# The query ends this long before the caller's deadline, so that the answer
# reaches the caller in time.
ANSWER_MARGIN_MS = 5


def start_query(
    state: states.FrontState, query: messages.Query, now_ms: int
) -> list[command.Command]:
    """Plan and send a query, or refuse it before it uses any slot."""
    refusal = state.serving.refusal_at(now_ms)
    if refusal:
        return [_refuse_not_serving(state, query, refusal)]
    service = state.catalog.services.get(query.service)
    if service is None:
        return [_refuse_unknown(query, 'service', query.service)]
    if query.rank not in state.catalog.ranks:
        return [_refuse_unknown(query, 'rank', query.rank)]
    version = service.version(service.current_version)
    if version is None:
        return [_refuse_unknown(query, 'version', service.current_version)]
    key = state.caller_shares.admission_key(
        query.query_id, query.rank, query.caller, now_ms
    )
    running = running_query.RunningQuery(query, service, version, now_ms, key)
    share = admitting_share(state, running, now_ms)
    if share < service.minimum_coverage:
        return _refuse_early(running, share)
    state.running[query.query_id] = running
    wait_ms = max(query.deadline_ms - ANSWER_MARGIN_MS, 1)
    commands: list[command.Command] = [
        messages.Timer(wait_ms, query_timer.QueryTimer(query.query_id, False))
    ]
    if service.last_shards == resources.LastShards.EARLY:
        timer = query_timer.QueryTimer(query.query_id, True)
        commands.append(messages.Timer(service.early_after_ms, timer))
    commands += send.send_pending(state, running, now_ms)
    commands += finishing.finish_if_done(state, running, now_ms)
    return commands


def admitting_share(
    state: states.FrontState, running: running_query.RunningQuery, now_ms: int
) -> float:
    """Return the share of shards, in [0, 1], that would admit the query."""
    shards = running.version.shards
    admitted = 0
    for replica_set in shards.values():
        level = state.levels.find(
            running.service.name, replica_set, running.query.rank, now_ms
        )
        if running.admission_key < level:
            admitted += 1
    return admitted / len(shards)


def _refuse_not_serving(
    state: states.FrontState,
    query: messages.Query,
    reason: messages.MissingReason,
) -> messages.Refusal:
    return messages.Refusal(
        query_id=query.query_id,
        request_id=query.request_id,
        code=str(reason),
        run_state=messages.RunState.NOT_RUN,
        message=f'node {state.node_id} does not accept new work',
        remedy='send the request to another node',
    )


def _refuse_unknown(
    query: messages.Query, field: str, value: str
) -> messages.Refusal:
    return messages.Refusal(
        query_id=query.query_id,
        request_id=query.request_id,
        code=f'unknown_{field}',
        run_state=messages.RunState.NOT_RUN,
        message=f'{field} {value!r} is not declared',
        remedy=f'use a declared {field}, or declare it first',
    )


def _refuse_early(
    running: running_query.RunningQuery, share: float
) -> list[command.Command]:
    query = running.query
    refusal = messages.Refusal(
        query_id=query.query_id,
        request_id=query.request_id,
        code='overload',
        run_state=messages.RunState.NOT_RUN,
        message=(
            f'only {share:.0%} of the shards of {query.service} currently'
            f' admit rank {query.rank}, less than the declared minimum'
            ' coverage'
        ),
        remedy='retry later with an increasing delay',
    )
    decision = messages.Decision(
        'refuse_query',
        'admission_level',
        {'query': query.query_id, 'rank': query.rank, 'share': share},
    )
    return [refusal, decision, messages.Count('front.refused.overload')]
