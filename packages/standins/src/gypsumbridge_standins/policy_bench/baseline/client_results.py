"""Collects parts of a baseline's queries, and ends the queries."""

from gypsumbridge_decisions import messages
from gypsumbridge_standins.policy_bench.baseline import client_fleet
from gypsumbridge_standins.policy_bench.baseline import client_node
from gypsumbridge_standins.policy_bench.baseline import client_query
from gypsumbridge_standins.replay import endpoint_run


def record_part(
    fleet: client_fleet.ClientFleet,
    node: client_node.ClientNode,
    running: client_query.ClientQuery,
    reply: messages.EndpointReply,
) -> None:
    """Record a shard's part, and end the query if it is complete."""
    running.pending.discard(reply.shard)
    running.covered[reply.shard] = messages.Part(
        shard=reply.shard,
        version=reply.version,
        outcome=messages.PartOutcome.COVERED,
        reason=messages.MissingReason.NONE,
        payload=reply.payload,
        endpoint=reply.endpoint,
        attempts=1,
    )
    _end_if_done(fleet, node, running)


def record_missing(
    fleet: client_fleet.ClientFleet,
    node: client_node.ClientNode,
    running: client_query.ClientQuery,
    shard: str,
    reason: messages.MissingReason,
) -> None:
    """Record a missing shard, and end the query if it cannot succeed."""
    running.pending.discard(shard)
    running.missing[shard] = reason
    _end_if_done(fleet, node, running)


def give_up_early(
    fleet: client_fleet.ClientFleet,
    node: client_node.ClientNode,
    running: client_query.ClientQuery,
) -> None:
    """Accept the service's minimum coverage from now on."""
    running.early_passed = True
    if not running.done:
        _end_if_done(fleet, node, running)


def time_out(
    fleet: client_fleet.ClientFleet,
    node: client_node.ClientNode,
    running: client_query.ClientQuery,
) -> None:
    """End a query at its deadline."""
    if not running.done:
        _end(fleet, node, running, messages.MissingReason.DEADLINE)


def _end_if_done(
    fleet: client_fleet.ClientFleet,
    node: client_node.ClientNode,
    running: client_query.ClientQuery,
) -> None:
    total = len(running.version.shards)
    minimum = running.service.minimum_coverage
    reachable = (len(running.covered) + len(running.pending)) / total
    early = running.early_passed and len(running.covered) / total >= minimum
    if not running.pending or reachable < minimum or early:
        reason = messages.MissingReason.GIVEN_UP_EARLY
        _end(fleet, node, running, reason)


def _end(
    fleet: client_fleet.ClientFleet,
    node: client_node.ClientNode,
    running: client_query.ClientQuery,
    pending_reason: messages.MissingReason,
) -> None:
    """Cancel the running calls and report the result to the caller."""
    if not fleet.replay.nodes[node.node_id].alive:
        return
    running.done = True
    for shard in running.pending:
        running.missing[shard] = pending_reason
    running.pending = set()
    for call_id, name in list(running.running.items()):
        _cancel(fleet, node, call_id, name)
    coverage = len(running.covered) / len(running.version.shards)
    if coverage < running.service.minimum_coverage:
        fleet.on_result(_refusal(running))
        return
    missing = running.missing.items()
    fleet.on_result(
        messages.Answer(
            query_id=running.query.query_id,
            request_id=running.query.request_id,
            service=running.service.name,
            snapshot=running.version.name,
            coverage=coverage,
            parts=tuple(running.covered.values()),
            missing=tuple(messages.MissingShard(s, r) for s, r in missing),
            attempts=running.attempts,
            elapsed_ms=fleet.replay.scheduler.now_ms() - running.started_ms,
        )
    )


def _refusal(running: client_query.ClientQuery) -> messages.Refusal:
    state = messages.RunState.NOT_RUN
    if running.attempts:
        state = messages.RunState.OUTCOME_UNKNOWN
    query = running.query
    return messages.Refusal(
        query_id=query.query_id,
        request_id=query.request_id,
        code='insufficient_coverage',
        run_state=state,
        message='fewer shards than the minimum coverage',
        remedy='retry later',
    )


def _cancel(
    fleet: client_fleet.ClientFleet,
    node: client_node.ClientNode,
    call_id: int,
    endpoint_name: str,
) -> None:
    endpoint = fleet.replay.endpoints[endpoint_name]
    for job, reply in list(endpoint.replies.items()):
        key = (job.node_id, job.request.call_id)
        if key == (node.node_id, call_id):
            cancel = messages.EndpointCancel(call_id, endpoint_name)
            endpoint_run.cancel(fleet.replay, node.node_id, cancel, reply)
            return
