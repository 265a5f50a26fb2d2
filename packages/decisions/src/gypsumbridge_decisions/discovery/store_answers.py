"""Results of calls to the store, in the order of their eras."""

from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import command
from gypsumbridge_decisions.discovery import eras
from gypsumbridge_decisions.discovery import history_lost
from gypsumbridge_decisions.discovery import listing
from gypsumbridge_decisions.discovery import node_written
from gypsumbridge_decisions.discovery import state as states
from gypsumbridge_decisions.discovery import store_changed
from gypsumbridge_decisions.discovery import store_failed
from gypsumbridge_decisions.discovery import store_listed
from gypsumbridge_decisions.discovery import syncing

StoreAnswer = (
    store_listed.StoreListed
    | store_changed.StoreChanged
    | history_lost.HistoryLost
    | store_failed.StoreFailed
)


def handle_answer(
    state: states.DiscoveryState, answer: StoreAnswer, now_ms: int
) -> list[command.Command]:
    """Handle the result of a list or a watch.

    One of an older era counts as a failed call, so that the next call
    follows after a pause.
    """
    commands = eras.begin_newer_era(state, answer.era, 'store')
    if answer.era is not None and answer.era < state.era:
        kind = type(answer).__name__
        return [
            *commands,
            *eras.drop_older_answer(state, answer.era, kind),
            *syncing.handle_store_failure(state, 'older_era', now_ms),
        ]
    match answer:
        case store_listed.StoreListed():
            commands += eras.report_missing_era(state, answer.era)
            return [*commands, *listing.handle_list(state, answer, now_ms)]
        case store_changed.StoreChanged():
            commands += eras.report_missing_era(state, answer.era)
            if state.era_pending:
                # The changes follow a revision of an older era.
                relaying.readmit_store(state.relay)
                return [*commands, *syncing.resume(state, now_ms)]
            return [*commands, *syncing.handle_changes(state, answer, now_ms)]
        case history_lost.HistoryLost():
            lost = listing.handle_history_lost(state, answer.reason, now_ms)
            return [*commands, *lost]
        case store_failed.StoreFailed():
            return [
                *commands,
                *syncing.handle_store_failure(state, answer.reason, now_ms),
            ]


def handle_node_written(
    state: states.DiscoveryState, written: node_written.NodeWritten
) -> list[command.Command]:
    """Record the result of writing this node's key.

    A key that was written in an older era may be missing in the copy from
    which the store came back.
    """
    commands = eras.begin_newer_era(state, written.era, 'store')
    older = written.era is not None and written.era < state.era
    state.writing_node = False
    state.node_written = written.done and not older
    return commands
