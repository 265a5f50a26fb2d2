"""Runs queries through a baseline fleet."""

import collections

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_standins.policy_bench.baseline import client_fleet
from gypsumbridge_standins.policy_bench.baseline import client_node
from gypsumbridge_standins.policy_bench.baseline import client_query
from gypsumbridge_standins.policy_bench.baseline import client_results
from gypsumbridge_standins.policy_bench.baseline import replica_choice
from gypsumbridge_standins.replay import endpoint_run

RETRY_SHARE = 0.05
MAX_TOKENS = 10.0


def submit_query(
    fleet: client_fleet.ClientFleet, node_id: str, query: messages.Query
) -> None:
    """Queue the shards of a query and schedule its deadline."""
    node = fleet.nodes[node_id]
    service = fleet.catalog.services[query.service]
    urgency = fleet.catalog.ranks[query.rank].urgency
    now_ms = fleet.replay.scheduler.now_ms()
    running = client_query.ClientQuery(
        query, service, urgency if fleet.policy.ranked else 0, now_ms
    )
    scheduler = fleet.replay.scheduler
    scheduler.after(
        query.deadline_ms,
        lambda: client_results.time_out(fleet, node, running),
    )
    if service.last_shards == resources.LastShards.EARLY:
        scheduler.after(
            service.early_after_ms,
            lambda: client_results.give_up_early(fleet, node, running),
        )
    for shard in sorted(running.pending):
        if not running.done:
            queue_shard(fleet, node, running, shard)


def queue_shard(
    fleet: client_fleet.ClientFleet,
    node: client_node.ClientNode,
    running: client_query.ClientQuery,
    shard: str,
) -> None:
    """Queue a shard at a replica that was not tried yet.

    The shard is missing if there is none, or if the wait would exceed the
    deadline.
    """
    key = (running.service.name, running.version.shards[shard])
    tried = running.tried.setdefault(shard, [])
    endpoint = replica_choice.choose(fleet, key, tried)
    reasons = messages.MissingReason
    if endpoint is None:
        client_results.record_missing(
            fleet, node, running, shard, reasons.ENDPOINT_FAILED
        )
        return
    queues = node.queues.setdefault(endpoint.name, {})
    service_ms = fleet.replay.endpoints[endpoint.name].service_ms
    queued_ahead = sum(
        len(q) for u, q in queues.items() if u <= running.urgency
    )
    left_ms = running.deadline_at_ms - fleet.replay.scheduler.now_ms()
    if (queued_ahead + 1) * service_ms / slots_per_node(
        fleet, endpoint
    ) > left_ms:
        client_results.record_missing(
            fleet, node, running, shard, reasons.OVERLOAD
        )
        return
    queue = queues.setdefault(running.urgency, collections.deque())
    queue.append((running, shard))
    send_queued(fleet, node, endpoint)


def slots_per_node(
    fleet: client_fleet.ClientFleet, endpoint: resources.Endpoint
) -> int:
    """Return the slots of an endpoint that one node may use, at least 1."""
    return max(endpoint.slots // len(fleet.nodes), 1)


def send_queued(
    fleet: client_fleet.ClientFleet,
    node: client_node.ClientNode,
    endpoint: resources.Endpoint,
) -> None:
    """Send queued calls while the node's share of the slots allows."""
    queues = node.queues.get(endpoint.name, {})
    for urgency in sorted(queues):
        queue = queues[urgency]
        while queue:
            if node.outstanding.get(endpoint.name, 0) >= slots_per_node(
                fleet, endpoint
            ):
                return
            running, shard = queue.popleft()
            if running.done or shard not in running.pending:
                continue
            _send(fleet, node, endpoint, running, shard)


def _send(
    fleet: client_fleet.ClientFleet,
    node: client_node.ClientNode,
    endpoint: resources.Endpoint,
    running: client_query.ClientQuery,
    shard: str,
) -> None:
    call_id = node.next_call_id
    node.next_call_id += 1
    node.running[call_id] = (running, shard)
    node.outstanding[endpoint.name] = (
        node.outstanding.get(endpoint.name, 0) + 1
    )
    if not running.tried[shard]:
        node.retry_tokens = min(node.retry_tokens + RETRY_SHARE, MAX_TOKENS)
    running.tried[shard].append(endpoint.name)
    running.running[call_id] = endpoint.name
    running.attempts += 1
    now_ms = fleet.replay.scheduler.now_ms()
    request = messages.EndpointRequest(
        call_id=call_id,
        endpoint=endpoint.name,
        address=endpoint.address,
        port=endpoint.port,
        connections=1,
        shard=shard,
        version=running.version.name,
        remaining_ms=max(running.deadline_at_ms - now_ms, 1),
        body=running.query.body,
    )
    received = not fleet.replay.endpoints[endpoint.name].down
    fleet.tally.record_attempt(running.query.query_id, shard, received)
    endpoint_run.request(
        fleet.replay,
        node.node_id,
        request,
        make_reply_function(fleet, node, endpoint),
    )


def make_reply_function(
    fleet: client_fleet.ClientFleet,
    node: client_node.ClientNode,
    endpoint: resources.Endpoint,
) -> endpoint_run.ReplyTo:
    """Return a function that handles an endpoint's reply at a node."""

    def reply(delay_ms: int, message: messages.EndpointReply) -> None:
        fleet.replay.scheduler.after(
            delay_ms, lambda: _receive(fleet, node, endpoint, message)
        )

    return reply


def _receive(
    fleet: client_fleet.ClientFleet,
    node: client_node.ClientNode,
    endpoint: resources.Endpoint,
    message: messages.EndpointReply,
) -> None:
    if not fleet.replay.nodes[node.node_id].alive:
        return
    queued = node.running.pop(message.call_id, None)
    if queued is None:
        return
    node.outstanding[endpoint.name] -= 1
    running, shard = queued
    running.running.pop(message.call_id, None)
    if not running.done and shard in running.pending:
        if message.status == messages.EndpointStatus.OK:
            client_results.record_part(fleet, node, running, message)
        elif node.retry_tokens >= 1.0:
            node.retry_tokens -= 1.0
            queue_shard(fleet, node, running, shard)
        else:
            reason = messages.MissingReason.ENDPOINT_FAILED
            client_results.record_missing(fleet, node, running, shard, reason)
    send_queued(fleet, node, endpoint)
