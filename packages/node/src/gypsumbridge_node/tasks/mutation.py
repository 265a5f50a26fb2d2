"""The task that claims mutations and sends each one once."""

from typing import Any

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import mutation
from gypsumbridge_node import execute as executors
from gypsumbridge_node import runtime as runtimes
from gypsumbridge_node import store_call
from gypsumbridge_wire import store

# Limits the log lines for one bucket, which is listed again after little more
# than an hour.
MAX_LOGGED_ERRORS = 10


def start_mutation_task(runtime: runtimes.Runtime) -> None:
    """Run the claim protocol on the task's mailbox."""
    mailboxes = runtime.mailboxes
    settings = runtime.settings.mutation
    state = mutation.make_mutation_state(
        runtime.settings.node.node_id,
        mutation.Limits(settings.clock_skew_ms, settings.max_key_lifetime_ms),
    )
    deliver = mailboxes.caller_http.put

    def call_store(call: messages.ClaimCall) -> None:
        request = store.encode_claim_call(call)
        mailboxes.store.put(store_call.StoreCall(request, mailboxes.mutation))

    execute = executors.make_executor(
        runtime,
        mailboxes.mutation,
        {
            messages.ToPeer: runtime.mailboxes.peer_link.put,
            messages.ClaimCall: call_store,
            messages.MutationAnswer: deliver,
            messages.ClaimReport: deliver,
            messages.Refusal: deliver,
        },
    )

    def handle(message: Any) -> None:
        if isinstance(message, messages.InFlightQuery):
            count = len(state.running)
            mailboxes.lifecycle.put(messages.InFlightReport('mutation', count))
            return
        if isinstance(message, messages.StoreReply):
            message = decode(runtime, message)
        clock = runtime.clock
        execute(
            mutation.handle(state, message, clock.now_ms(), clock.wall_ms())
        )

    mailboxes.mutation.start(handle)
    mailboxes.mutation.put(mutation.SweepTimer())


def decode(
    runtime: runtimes.Runtime, reply: messages.StoreReply
) -> messages.ClaimReply:
    """Return the claims in a reply, and log values that are not claims.

    In the list of a bucket such values are skipped, so that they do not
    prevent the removal of the bucket's expired claims.
    """
    try:
        if reply.token != mutation.LIST_TOKEN:
            return store.decode_claim_reply(reply)
        decoded, rejected = store.decode_claim_list(reply)
    except errors.FrameError as error:
        decoded = messages.ClaimReply(
            reply.token, messages.StoreStatus.REJECTED
        )
        rejected = (error,)
    for error in rejected[:MAX_LOGGED_ERRORS]:
        runtime.logger.error('claim rejected', extra={'error': str(error)})
    return decoded
