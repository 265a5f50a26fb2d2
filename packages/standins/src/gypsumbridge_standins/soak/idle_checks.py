"""Checks after all faults and traffic have ended."""

from gypsumbridge_standins.replay import control as controls
from gypsumbridge_standins.replay import replay_node
from gypsumbridge_standins.soak import reporting
from gypsumbridge_standins.soak import soak_state


def check_idle(state: soak_state.SoakState) -> None:
    """Check that no request is left and that every node is ready.

    All nodes must be alive and have the same revision.
    """
    for node_id, node in state.replay.nodes.items():
        check_work(state, node_id, node)
        if not node.alive or node.control is None:
            raise reporting.violation(state, f'{node_id} is down')
        check_control(state, node_id, node, node.control)
    revisions = {
        node_id: node.front.catalog.revision
        for node_id, node in state.replay.nodes.items()
    }
    if len(set(revisions.values())) > 1:
        raise reporting.violation(
            state, f'the nodes have revisions {revisions}'
        )
    if state.open_requests:
        raise reporting.violation(
            state, f'{len(state.open_requests)} requests were never answered'
        )
    endpoints = state.replay.endpoints.values()
    if any(endpoint.outstanding() for endpoint in endpoints):
        raise reporting.violation(state, 'an endpoint still has requests')


def check_work(
    state: soak_state.SoakState, node_id: str, node: replay_node.ReplayNode
) -> None:
    """Check that a node has no query, batch or queued call left."""
    if node.front.running:
        raise reporting.violation(state, f'{node_id} still has queries')
    if node.owner.batches or node.owner.calls:
        raise reporting.violation(
            state,
            f'{node_id} still has {len(node.owner.batches)} batches and'
            f' {len(node.owner.calls)} calls',
        )
    for key, set_state in node.owner.sets.items():
        queued = sum(q.length for q in set_state.queues.values())
        running_calls = sum(set_state.running_by_rank.values())
        if queued or running_calls or set_state.retries:
            raise reporting.violation(
                state, f'{node_id} still has calls of {key}'
            )


def check_control(
    state: soak_state.SoakState,
    node_id: str,
    node: replay_node.ReplayNode,
    control: controls.Control,
) -> None:
    """Check a node's membership, revision, readiness and mutations."""
    members = control.membership.published_members
    not_alive = sorted(
        name
        for name in state.replay.nodes
        if name not in members or members[name].state != 'alive'
    )
    if not_alive:
        raise reporting.violation(
            state, f'{node_id} does not show {not_alive} as alive'
        )
    newest = max(
        revision
        for key, (_, revision) in state.replay.store.state.items.items()
        if key.startswith('config/')
    )
    revisions = {node.front.catalog.revision, control.catalog.revision}
    # A node that started with a list has the revision of the list, which
    # also counts claims; the others adopt that revision from its replies.
    if len(revisions) > 1 or min(revisions) < newest:
        raise reporting.violation(
            state, f'{node_id} has {revisions}, not {newest}'
        )
    if not control.lifecycle.ready:
        raise reporting.violation(state, f'{node_id} is not ready')
    if control.mutation.running or control.mutation.pending_lookups:
        raise reporting.violation(state, f'{node_id} still has mutations')
