"""Checks during a soak, beyond the invariants in the decisions' code."""

import json
from typing import Any

from gypsumbridge_decisions import lifecycle
from gypsumbridge_decisions import messages
from gypsumbridge_standins.soak import leaving_checks
from gypsumbridge_standins.soak import mutation_checks
from gypsumbridge_standins.soak import reporting
from gypsumbridge_standins.soak import soak_state

# Time after its deadline by which a front must have answered a query.
ANSWER_SLACK_MS = 50
# Time after which an accepted configuration must be in force on all nodes.
IN_FORCE_MS = 4_000


def check_result(
    state: soak_state.SoakState, node_id: str, result: Any
) -> None:
    """Check an answer or refusal from the caller's point of view."""
    is_mutation = isinstance(result, messages.MutationAnswer)
    query_id = result.mutation_id if is_mutation else result.query_id
    reporting.add_to_digest(
        state, f'{node_id} {type(result).__name__} {query_id}'
    )
    if query_id in state.disconnected:
        return
    if query_id in state.ended:
        raise reporting.violation(state, f'query {query_id} ended twice')
    open_request = state.open_requests.pop(query_id, None)
    if open_request is None:
        raise reporting.violation(state, f'{query_id} was never sent')
    state.ended.add(query_id)
    query, sent_to, sent_ms = open_request
    if (result.request_id, node_id) != (query.request_id, sent_to):
        raise reporting.violation(
            state, f'{query_id} was answered to the wrong caller'
        )
    late_ms = state.replay.scheduler.now_ms() - sent_ms - query.deadline_ms
    # A node cannot measure how long a query waited while it was paused.
    was_paused = state.resumed_ms.get(node_id, -1) >= sent_ms
    if late_ms > ANSWER_SLACK_MS and not was_paused:
        raise reporting.violation(
            state, f'{query_id} was answered {late_ms} ms late'
        )
    if isinstance(result, messages.Answer):
        check_answer(state, result)
        return
    if isinstance(open_request[0], messages.Mutation):
        mutation_checks.check_result(state, open_request[0], result)
        return
    state.refused += 1
    if result.run_state == messages.RunState.NOT_RUN:
        if query_id in state.sent_to_endpoints:
            raise reporting.violation(
                state, f'{query_id} was run but reported as not_run'
            )


def check_answer(state: soak_state.SoakState, answer: messages.Answer) -> None:
    """Check the snapshot, parts and coverage of an answer."""
    state.answered += 1
    if answer.missing:
        state.partial += 1
    for part in answer.parts:
        if part.version != answer.snapshot:
            raise reporting.violation(
                state, f'{answer.query_id} mixes versions'
            )
        content = json.loads(part.payload)
        content_origin = (content['shard'], content['version'])
        if content_origin != (part.shard, answer.snapshot):
            raise reporting.violation(
                state, f'{answer.query_id} has a part of another shard'
            )
    if answer.coverage < 1 and not answer.missing:
        raise reporting.violation(
            state, f'{answer.query_id} does not report missing shards'
        )


def check_decision(
    state: soak_state.SoakState, node_id: str, decision: messages.Decision
) -> None:
    """Check a decision and add it to the digest."""
    fields = ' '.join(f'{k}={v}' for k, v in decision.fields.items())
    reporting.add_to_digest(
        state, f'{node_id} {decision.name} {decision.reason} {fields}'
    )
    if decision.name != 'send_to_endpoint':
        return
    state.sent_to_endpoints.add(str(decision.fields['query']))
    call = (node_id, int(decision.fields['call']))
    state.query_by_call[call] = str(decision.fields['query'])
    leaving_checks.check_send(state, node_id, str(decision.fields['endpoint']))


def check_slots(state: soak_state.SoakState) -> None:
    """Check that no owner uses more slots than an endpoint has."""
    for node in state.replay.nodes.values():
        for set_state in node.owner.sets.values():
            for replica in set_state.replicas.values():
                if len(replica.running) > replica.endpoint.slots:
                    raise reporting.violation(
                        state, f'{replica.endpoint.name} exceeds its slots'
                    )


def check_accepted_work(
    state: soak_state.SoakState, node_id: str, message: Any
) -> None:
    """Check the age of the configuration when a node accepts new work."""
    node = state.replay.nodes[node_id]
    control = node.control
    if control is None:
        return
    if isinstance(message, messages.Query):
        accepted_work = message.query_id in node.front.running
        revision = node.front.catalog.revision
    elif isinstance(message, messages.Mutation):
        accepted_work = message.mutation_id in control.mutation.running
        revision = control.mutation.catalog.revision
    else:
        return
    if not accepted_work:
        return
    for accepted_ms, accepted_revision in state.accepted:
        age_ms = state.now_ms() - accepted_ms
        if accepted_revision > revision and age_ms > IN_FORCE_MS:
            raise reporting.violation(
                state,
                f'{node_id} accepts work at {revision}, {age_ms} ms after'
                f' {accepted_revision} was accepted',
            )


def check_publish(
    state: soak_state.SoakState, node_id: str, revision: int
) -> None:
    """Check that a node never reverts to a lower revision until a restart."""
    reporting.add_to_digest(state, f'{node_id} publishes {revision}')
    node = state.replay.nodes[node_id]
    earlier_node, earlier_revision = state.published.get(node_id, (None, 0))
    if earlier_node is node and revision < earlier_revision:
        raise reporting.violation(state, f'{node_id} reverts to {revision}')
    state.published[node_id] = (node, revision)
    leaving_checks.record_revision(state, node_id, revision)


def check_single_replacement(
    state: soak_state.SoakState, key: str, expected: int, operation: str
) -> None:
    """Check that only one operation replaced a revision of a key."""
    first_operation = state.replacements.setdefault((key, expected), operation)
    if first_operation != operation:
        raise reporting.violation(
            state, f'{first_operation} and {operation} both replaced {key}'
        )


def check_exit(
    state: soak_state.SoakState, node_id: str, exit_command: lifecycle.ExitNode
) -> None:
    """Check that a graceful stop ends with nothing in flight."""
    reporting.add_to_digest(state, f'{node_id} exits {exit_command.reason}')
    node = state.replay.nodes[node_id]
    open_ids = [
        r for r, (_, n, _) in state.open_requests.items() if n == node_id
    ]
    if not exit_command.clean:
        raise reporting.violation(
            state, f'{node_id} stops with {exit_command.reason}'
        )
    if (
        open_ids
        or node.front.running
        or node.owner.batches
        or node.owner.calls
    ):
        raise reporting.violation(
            state, f'{node_id} stops with requests in flight: {open_ids}'
        )
    if node.control is not None and node.control.mutation.running:
        raise reporting.violation(
            state, f'{node_id} stops with mutations in flight'
        )
