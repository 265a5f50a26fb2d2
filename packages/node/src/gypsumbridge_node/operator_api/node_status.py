"""A node's own status."""

from twisted.internet import defer

from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node.operator_api import calls as operator_calls
from gypsumbridge_node.operator_api import read
from gypsumbridge_node.operator_api import state as states
from gypsumbridge_wire import operator

QUERIED_TASKS = ('caller_http', 'front', 'owner', 'endpoint')


async def get_status(
    runtime: runtimes.Runtime,
    state: states.OperatorState,
    calls: operator_calls.Calls,
) -> read.Reply:
    """Return this node's identity, its view of the fleet and its counts.

    A task that does not reply in time has null counts.
    """
    mailboxes = runtime.mailboxes
    replies = await defer.gatherResults(
        [
            calls.query_status(getattr(mailboxes, name))
            for name in QUERIED_TASKS
        ]
    )
    tasks = {
        name: None if reply is None else dict(reply.counts)
        for name, reply in zip(QUERIED_TASKS, replies, strict=True)
    }
    tasks['operator_http'] = {
        'running_requests': state.running,
        'watches': len(state.watches),
    }
    node = runtime.settings.node
    serving = state.serving
    expired = runtime.clock.now_ms() >= serving.valid_until_ms
    return operator.encode_nodes(
        {
            'node_id': node.node_id,
            'failure_domain': node.failure_domain,
            'revision': state.catalog.revision,
            'ready': not serving.refusal and not expired,
            'reason': serving.refusal,
            'members': state.members,
            'tasks': tasks,
            'counters': runtime.metrics.totals,
            'gauges': runtime.metrics.gauges,
        }
    )
