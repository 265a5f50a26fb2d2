"""Runs requests on model endpoints."""

from collections.abc import Callable
import dataclasses
import json

from gypsumbridge_decisions import messages
from gypsumbridge_standins.replay import model_endpoint
from gypsumbridge_standins.replay import model_job
from gypsumbridge_standins.replay import replay as replays

ReplyTo = Callable[[int, messages.EndpointReply], None]

# One-way latency between a node and an endpoint.
NETWORK_MS = 1
CANCEL_SETTLE_MS = 5


def request(
    replay: replays.Replay,
    node_id: str,
    sent: messages.EndpointRequest,
    reply: ReplyTo,
) -> None:
    """Send a request; `reply` gets its reply, or LOST if there is none."""
    endpoint = replay.endpoints[sent.endpoint]
    status_type = messages.EndpointStatus
    if endpoint.down:
        reply(NETWORK_MS, make_reply(sent, status_type.UNREACHABLE, False))
        return
    endpoint.received += 1
    if endpoint.draining:
        drained = make_reply(sent, status_type.DRAINING, False)
        replay.on_drained(node_id, endpoint.name)
        reply(2 * NETWORK_MS, drained)
        return
    if sent.version not in endpoint.versions:
        version_gone = make_reply(sent, status_type.VERSION_GONE, False)
        reply(2 * NETWORK_MS, version_gone)
        return
    if len(endpoint.waiting) >= endpoint.queue_limit:
        endpoint.shed += 1
        reply(2 * NETWORK_MS, make_reply(sent, status_type.SHED, False))
        return
    job = model_job.ModelJob(node_id, sent)
    endpoint.waiting.append(job)
    endpoint.peak_outstanding = max(
        endpoint.peak_outstanding, endpoint.outstanding()
    )
    record_peak(endpoint, node_id)
    fill_slots(replay, endpoint, {job: reply})

    def time_out() -> None:
        if remove(replay, endpoint, job):
            reply(0, make_reply(sent, status_type.LOST, True))

    replay.scheduler.after(sent.remaining_ms, time_out)


def record_peak(endpoint: model_endpoint.ModelEndpoint, node_id: str) -> None:
    """Update the peak of a node's concurrent requests at an endpoint.

    A node keeps its connections open, so the sum of the peaks of all nodes
    is an upper bound of the endpoint's connections.
    """
    outstanding = sum(node == node_id for node, _ in endpoint.running)
    outstanding += sum(job.node_id == node_id for job in endpoint.waiting)
    peak = endpoint.peak_by_node.get(node_id, 0)
    endpoint.peak_by_node[node_id] = max(peak, outstanding)


def fill_slots(
    replay: replays.Replay,
    endpoint: model_endpoint.ModelEndpoint,
    replies: dict[model_job.ModelJob, ReplyTo],
) -> None:
    """Start waiting jobs while there are free slots."""
    endpoint.replies.update(replies)
    while endpoint.waiting and len(endpoint.running) < endpoint.slots:
        start(replay, endpoint, endpoint.waiting.popleft())


def start(
    replay: replays.Replay,
    endpoint: model_endpoint.ModelEndpoint,
    job: model_job.ModelJob,
) -> None:
    """Take a slot, and finish after a random search time."""
    key = (job.node_id, job.request.call_id)
    endpoint.running[key] = job
    endpoint.started += 1
    idempotency_key = job.request.idempotency_key
    if idempotency_key:
        endpoint.executed[idempotency_key] = (
            endpoint.executed.get(idempotency_key, 0) + 1
        )
        replay.on_executed(job.node_id, job.request)
    delay_ms = endpoint.search_time_ms()
    endpoint.busy_ms += delay_ms
    endpoint.ends_ms[key] = replay.scheduler.now_ms() + delay_ms

    def finish() -> None:
        if endpoint.running.get(key) is not job or endpoint.down:
            return
        del endpoint.running[key]
        del endpoint.ends_ms[key]
        endpoint.completed += 1
        reply = endpoint.replies.pop(job)
        if idempotency_key and endpoint.loses_mutations:
            # The owner detects the loss when its deadline ends the request.
            lost = make_reply(job.request, messages.EndpointStatus.LOST, True)
            reply(max(job.request.remaining_ms - delay_ms, 0), lost)
            fill_slots(replay, endpoint, {})
            return
        replied_request = dataclasses.replace(
            job.request,
            version=endpoint.answers_version or job.request.version,
            shard=endpoint.answers_shard or job.request.shard,
        )
        completed = make_reply(
            replied_request, messages.EndpointStatus.OK, True, delay_ms
        )
        reply(NETWORK_MS, completed)
        fill_slots(replay, endpoint, {})

    replay.scheduler.after(delay_ms, finish)


def cancel(
    replay: replays.Replay,
    node_id: str,
    command: messages.EndpointCancel,
    reply: ReplyTo,
) -> None:
    """Cancel a request; its slot at the endpoint is free at once."""
    endpoint = replay.endpoints[command.endpoint]
    jobs = [*endpoint.running.values(), *endpoint.waiting]
    for job in jobs:
        if (job.node_id, job.request.call_id) != (node_id, command.call_id):
            continue
        if remove(replay, endpoint, job):
            lost = make_reply(job.request, messages.EndpointStatus.LOST, True)
            reply(CANCEL_SETTLE_MS, lost)
        return


def remove(
    replay: replays.Replay,
    endpoint: model_endpoint.ModelEndpoint,
    job: model_job.ModelJob,
) -> bool:
    """Remove a job; return False if it has already ended."""
    key = (job.node_id, job.request.call_id)
    if endpoint.running.get(key) is job:
        del endpoint.running[key]
        # The slot was in use only until the cancellation.
        unused_ms = endpoint.ends_ms.pop(key) - replay.scheduler.now_ms()
        endpoint.busy_ms -= max(unused_ms, 0)
    elif job in endpoint.waiting:
        endpoint.waiting.remove(job)
    else:
        return False
    endpoint.replies.pop(job, None)
    fill_slots(replay, endpoint, {})
    return True


def make_reply(
    sent: messages.EndpointRequest,
    status: messages.EndpointStatus,
    executed: bool,
    took_ms: int = 0,
) -> messages.EndpointReply:
    """Return the reply of a request; the payload has the slot time."""
    payload = b''
    if status == messages.EndpointStatus.OK:
        payload = make_payload(sent.shard, sent.version, took_ms)
    return messages.EndpointReply(
        call_id=sent.call_id,
        endpoint=sent.endpoint,
        status=status,
        executed=executed,
        shard=sent.shard,
        version=sent.version,
        payload=payload,
        leaving=status == messages.EndpointStatus.DRAINING,
    )


def make_payload(shard: str, version: str, took_ms: int) -> bytes:
    """Return the payload of a search of a shard at a version."""
    content = {'shard': shard, 'version': version, 'took_ms': took_ms}
    return json.dumps(content).encode()
