"""Runs the discovery decision for a message."""

from typing import Any

from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import applying
from gypsumbridge_decisions.discovery import command
from gypsumbridge_decisions.discovery import following
from gypsumbridge_decisions.discovery import history_lost
from gypsumbridge_decisions.discovery import node_written
from gypsumbridge_decisions.discovery import removal_timer
from gypsumbridge_decisions.discovery import resume_timer
from gypsumbridge_decisions.discovery import state as states
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
        case store_listed.StoreListed():
            return syncing.take_list(state, message, now_ms)
        case store_changed.StoreChanged():
            return syncing.take_changes(state, message, now_ms)
        case history_lost.HistoryLost():
            return syncing.lose_history(state, now_ms)
        case store_failed.StoreFailed():
            return syncing.fail(state, message.reason, now_ms)
        case relaying.PeerAnswered():
            return following.take_news(state, message, now_ms)
        case relaying.PeerFailed():
            return following.lose_peer(state, message, now_ms)
        case relaying.PollArrived():
            status = state.status(now_ms)
            return [*relaying.receive(state.relay, message, status)]
        case relaying.PollTimer():
            status = state.status(now_ms)
            return [*relaying.expire(state.relay, message.poll_id, status)]
        case relaying.PollGone():
            state.relay.polls.pop(message.poll_id, None)
            return []
        case removal_timer.RemovalTimer():
            return applying.remove_held(state, now_ms)
        case node_written.NodeWritten():
            state.writing_node = False
            state.node_written = message.done
            return []
        case _:
            raise TypeError(f'discovery takes no {type(message).__name__}')
