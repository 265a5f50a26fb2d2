"""Runs the discovery decision for a message."""

from typing import Any

from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import applying
from gypsumbridge_decisions.discovery import command
from gypsumbridge_decisions.discovery import history_lost
from gypsumbridge_decisions.discovery import node_written
from gypsumbridge_decisions.discovery import peer_updates
from gypsumbridge_decisions.discovery import removal_timer
from gypsumbridge_decisions.discovery import restore_timer
from gypsumbridge_decisions.discovery import restoring
from gypsumbridge_decisions.discovery import resume_timer
from gypsumbridge_decisions.discovery import state as states
from gypsumbridge_decisions.discovery import store_answers
from gypsumbridge_decisions.discovery import store_changed
from gypsumbridge_decisions.discovery import store_failed
from gypsumbridge_decisions.discovery import store_listed
from gypsumbridge_decisions.discovery import syncing


def handle(
    state: states.DiscoveryState, message: Any, now_ms: int
) -> list[command.Command]:
    """Return the commands that follow from a message."""
    match message:
        case resume_timer.ResumeTimer():
            return syncing.resume(state, now_ms)
        case (
            store_listed.StoreListed()
            | store_changed.StoreChanged()
            | history_lost.HistoryLost()
            | store_failed.StoreFailed()
        ):
            return store_answers.handle_answer(state, message, now_ms)
        case relaying.PeerAnswered():
            return peer_updates.handle_peer_answer(state, message, now_ms)
        case relaying.PeerFailed():
            return peer_updates.handle_peer_failure(state, message, now_ms)
        case relaying.PollArrived():
            status = state.status(now_ms)
            return [*relaying.receive(state.relay, message, status)]
        case relaying.PollTimer():
            status = state.status(now_ms)
            return [*relaying.expire(state.relay, message.poll_id, status)]
        case relaying.PollClosed():
            state.relay.polls.pop(message.poll_id, None)
            return []
        case removal_timer.RemovalTimer():
            return applying.remove_due_searchers(state, now_ms)
        case node_written.NodeWritten():
            return store_answers.handle_node_written(state, message)
        case restore_timer.RestoreTimer():
            missing = restoring.end_hold(state, message)
            added = state.relay.log.add(missing)
            return syncing.apply(state, added, now_ms) if added else []
        case _:
            raise TypeError(
                f'unexpected message for discovery: {type(message).__name__}'
            )
