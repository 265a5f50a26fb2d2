"""What must hold in every run, beyond the program's own invariants."""

import json
from typing import Any

from gypsumbridge_decisions import lifecycle
from gypsumbridge_decisions import messages
from gypsumbridge_standins.soak import leaving_checks
from gypsumbridge_standins.soak import mutation_checks
from gypsumbridge_standins.soak import reporting
from gypsumbridge_standins.soak import soak_state

# Time past its deadline at which a front must have answered a query.
ANSWER_SLACK_MS = 50
# A configuration that was accepted is in force everywhere after this.
IN_FORCE_MS = 4_000


def check_result(
    state: soak_state.SoakState, node_id: str, result: Any
) -> None:
    """Check an answer or refusal as a caller would see it."""
    mutated = isinstance(result, messages.MutationAnswer)
    query_id = result.mutation_id if mutated else result.query_id
    reporting.note(state, f'{node_id} {type(result).__name__} {query_id}')
    if query_id in state.hung_up:
        return
    if query_id in state.ended:
        raise reporting.broken(state, f'query {query_id} ended twice')
    known = state.open.pop(query_id, None)
    if known is None:
        raise reporting.broken(state, f'{query_id} was never sent')
    state.ended.add(query_id)
    query, sent_to, sent_ms = known
    if (result.request_id, node_id) != (query.request_id, sent_to):
        raise reporting.broken(
            state, f'{query_id} was answered to another caller'
        )
    late_ms = state.replay.scheduler.now_ms() - sent_ms - query.deadline_ms
    # A paused node cannot know how long a query waited for it.
    was_paused = state.resumed_ms.get(node_id, -1) >= sent_ms
    if late_ms > ANSWER_SLACK_MS and not was_paused:
        raise reporting.broken(
            state, f'{query_id} was answered {late_ms} ms late'
        )
    if isinstance(result, messages.Answer):
        check_answer(state, result)
        return
    if isinstance(known[0], messages.Mutation):
        mutation_checks.check_result(state, known[0], result)
        return
    state.refused += 1
    if result.run_state == messages.RunState.NOT_RUN:
        if query_id in state.asked:
            raise reporting.broken(
                state, f'{query_id} was run and says not_run'
            )


def check_answer(state: soak_state.SoakState, answer: messages.Answer) -> None:
    """Check snapshot and content of an answer."""
    state.answered += 1
    if answer.missing:
        state.partial += 1
    for part in answer.parts:
        if part.version != answer.snapshot:
            raise reporting.broken(state, f'{answer.query_id} mixes versions')
        content = json.loads(part.payload)
        found = (content['shard'], content['version'])
        if found != (part.shard, answer.snapshot):
            raise reporting.broken(
                state, f'{answer.query_id} has a part of another'
            )
    if answer.coverage < 1 and not answer.missing:
        raise reporting.broken(
            state, f'{answer.query_id} hides missing shards'
        )


def check_decision(
    state: soak_state.SoakState, node_id: str, decision: messages.Decision
) -> None:
    """Check one decision line and add it to the digest."""
    fields = ' '.join(f'{k}={v}' for k, v in decision.fields.items())
    reporting.note(
        state, f'{node_id} {decision.name} {decision.reason} {fields}'
    )
    if decision.name != 'send_to_endpoint':
        return
    state.asked.add(str(decision.fields['query']))
    call = (node_id, int(decision.fields['call']))
    state.calls[call] = str(decision.fields['query'])
    leaving_checks.check_send(state, node_id, str(decision.fields['endpoint']))


def check_slots(state: soak_state.SoakState) -> None:
    """Check that no owner takes more slots than an endpoint has."""
    for node in state.replay.nodes.values():
        for set_state in node.owner.sets.values():
            for replica in set_state.replicas.values():
                if len(replica.running) > replica.endpoint.slots:
                    raise reporting.broken(
                        state, f'{replica.endpoint.name} is overcommitted'
                    )


def check_taken(
    state: soak_state.SoakState, node_id: str, message: Any
) -> None:
    """Check the configuration under which a node takes new work."""
    node = state.replay.nodes[node_id]
    control = node.control
    if control is None:
        return
    if isinstance(message, messages.Query):
        taken = message.query_id in node.front.running
        revision = node.front.catalog.revision
    elif isinstance(message, messages.Mutation):
        taken = message.mutation_id in control.mutation.running
        revision = control.mutation.catalog.revision
    else:
        return
    if not taken:
        return
    for at_ms, accepted in state.accepted:
        age_ms = state.now_ms() - at_ms
        if accepted > revision and age_ms > IN_FORCE_MS:
            raise reporting.broken(
                state,
                f'{node_id} takes work at {revision}, {age_ms} ms after'
                f' {accepted} was accepted',
            )


def check_publish(
    state: soak_state.SoakState, node_id: str, revision: int
) -> None:
    """Check that one run of a node never goes back."""
    reporting.note(state, f'{node_id} publishes {revision}')
    node = state.replay.nodes[node_id]
    run, before = state.published.get(node_id, (None, 0))
    if run is node and revision < before:
        raise reporting.broken(state, f'{node_id} goes back to {revision}')
    state.published[node_id] = (node, revision)
    leaving_checks.hear_revision(state, node_id, revision)


def check_swap(
    state: soak_state.SoakState, key: str, expected: int, operation: str
) -> None:
    """Check that only one operator replaced a revision."""
    winner = state.swaps.setdefault((key, expected), operation)
    if winner != operation:
        raise reporting.broken(
            state, f'{winner} and {operation} both replaced {key}'
        )


def check_exit(
    state: soak_state.SoakState, node_id: str, ended: lifecycle.ExitNode
) -> None:
    """Check that a graceful stop ends with nothing in flight."""
    reporting.note(state, f'{node_id} exits {ended.reason}')
    node = state.replay.nodes[node_id]
    left = [r for r, (_, n, _) in state.open.items() if n == node_id]
    if not ended.clean:
        raise reporting.broken(state, f'{node_id} stops by {ended.reason}')
    if left or node.front.running or node.owner.batches or node.owner.calls:
        raise reporting.broken(
            state, f'{node_id} stops with work in flight, open are {left}'
        )
    if node.control is not None and node.control.mutation.running:
        raise reporting.broken(state, f'{node_id} stops with mutations')
