"""The task that answers the polls of other nodes with store updates."""

import dataclasses

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import relaying
from gypsumbridge_node.gateway import listening
from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_node.gateway import server_connection
from gypsumbridge_node.gateway import server_factory
from gypsumbridge_wire import relay

STATUS_OK = 200
STATUS_NOT_FOUND = 404
PROOF_AGE_STEP_MS = 10


def start_relay_task(runtime: runtimes.GatewayRuntime) -> None:
    """Pass polls to the discovery task and send its answers."""
    mailbox = runtime.mailboxes.discovery
    waiting: dict[int, server_connection.ServerConnection] = {}
    last_poll_id = 0
    # Polls that start from the same revision often get the same updates, so
    # the latest encoded answer is kept. The age of the proof is rounded up,
    # or it would differ in most answers.
    last_encoded: tuple[relaying.RelayedUpdates | None, bytes] = (None, b'')

    def handle_poll(
        connection: server_connection.ServerConnection,
        request: parsed_request.ParsedRequest,
    ) -> None:
        nonlocal last_poll_id
        found = relay.decode_target(request.target)
        if found is None:
            connection.respond(STATUS_NOT_FOUND, (), b'')
            return
        last_poll_id += 1
        waiting[last_poll_id] = connection
        mailbox.put(relaying.PollArrived(last_poll_id, *found))

    def remove_polls(connection: server_connection.ServerConnection) -> None:
        closed = [
            poll for poll, found in waiting.items() if found is connection
        ]
        for poll_id in closed:
            del waiting[poll_id]
            mailbox.put(relaying.PollClosed(poll_id))

    def answer(command: relaying.AnswerPoll) -> None:
        nonlocal last_encoded
        connection = waiting.pop(command.poll_id, None)
        if connection is None:
            return
        updates = state_proof_age(command, runtime.clock.boot_ms())
        if last_encoded[0] != updates:
            last_encoded = (updates, relay.encode_updates(updates))
        runtime.metrics.count('relay.answers')
        connection.respond(STATUS_OK, (), last_encoded[1])

    runtime.mailboxes.relay.start(answer)
    if not runtime.settings.listen.peers:
        return
    limits = forwarding.IngressLimits()
    factory = server_factory.make_factory(
        handle_poll,
        remove_polls,
        lambda: limits,
        lambda: False,
        runtime.resources,
    )
    listening.listen(runtime, runtime.settings.listen.peers, factory)


def state_proof_age(
    command: relaying.AnswerPoll, now_ms: int
) -> relaying.RelayedUpdates:
    """Return the updates with the age of their proof, rounded up.

    `now_ms` is the time at which they are encoded, on the clock that counts
    suspended time.
    """
    if command.proven_ms is None:
        return command.updates
    age_ms = max(0, now_ms - command.proven_ms)
    steps = -(-age_ms // PROOF_AGE_STEP_MS)
    return dataclasses.replace(
        command.updates, proof_age_ms=steps * PROOF_AGE_STEP_MS
    )
