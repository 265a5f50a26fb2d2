"""Sends attempts over connections of a pool."""

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import attempt_codec
from gypsumbridge_node.gateway import attempt_job
from gypsumbridge_node.gateway import attempt_reports
from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import searcher_pool
from gypsumbridge_node.gateway import searchers_context

# Limits the memory that the parts of one request can take, since all of them
# may be received at once.
MAX_PART_BYTES = 1_048_576


def send_attempt(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
    job: attempt_job.AttemptJob,
    connection: client_connection.ClientConnection,
) -> bool:
    """Send the request, and return whether its response is still needed."""
    now_ms = context.runtime.clock.now_ms()
    remaining_ms = job.command.remaining_ms - (now_ms - job.created_ms)
    if job.grace_timer is not None or remaining_ms <= 0:
        attempt_reports.report_not_sent(context, job, 'not_needed')
        return False
    pool.warmed = False
    job.connection = connection
    pool.busy[connection] = job
    request_id = job.command.request.request_id
    id_header = context.names.request_id

    def expects(reply: http_reply.HttpReply) -> bool:
        if reply.headers.first.get(id_header) == request_id:
            return True
        if (id_header, request_id) in reply.headers.lowered():
            # The head has several ids, which is reported as a fault.
            return True
        context.runtime.metrics.count('searchers.stray_responses')
        return False

    data = attempt_codec.encode_attempt(
        context.names,
        shared_head(context, job.command.request),
        job.command,
        remaining_ms,
    )
    max_body_bytes = client_connection.MAX_BODY_BYTES
    if job.command.framed_only:
        max_body_bytes = MAX_PART_BYTES
    head_only = job.command.request.method == 'HEAD'
    connection.send(data, expects, max_body_bytes, head_only)
    return True


def shared_head(
    context: searchers_context.SearchersContext,
    request: forwarding.CallerRequest,
) -> bytes:
    """Return the part of the head that the attempts of a request share.

    The parts of a gather are sent one after another, so the head of the
    latest request is cached.
    """
    call_id, head = context.state.last_head
    if call_id != request.call_id:
        head = attempt_codec.encode_shared_head(context.names, request)
        context.state.last_head = (request.call_id, head)
    return head
