"""Updates that come from another node instead of the store."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import command
from gypsumbridge_decisions.discovery import eras
from gypsumbridge_decisions.discovery import listing
from gypsumbridge_decisions.discovery import proving
from gypsumbridge_decisions.discovery import state as states
from gypsumbridge_decisions.discovery import store_changed
from gypsumbridge_decisions.discovery import store_listed
from gypsumbridge_decisions.discovery import syncing


def handle_peer_answer(
    state: states.DiscoveryState,
    answered: relaying.PeerAnswered,
    now_ms: int,
) -> list[command.Command]:
    """Apply a peer's updates and poll again.

    A peer that is not up to date is excluded, so the next poll goes to
    another source.
    """
    updates = answered.updates
    era = updates.era or 0
    if era < state.era:
        return drop_older_updates(state, answered, now_ms)
    commands: list[command.Command] = []
    if era > state.era or state.era_pending:
        if not (updates.in_touch and updates.complete):
            # The peer has not listed the new era either.
            state.list_needed = True
            state.exact_list_needed = True
            return [
                *exclude_outdated(state, answered, now_ms),
                *syncing.resume(state, now_ms),
            ]
        commands += eras.begin_newer_era(state, era, answered.node_id)
    if updates.in_touch:
        relaying.readmit_peer(state.relay, answered.node_id)
        confirmed_ms = max(state.confirmed_ms, now_ms - updates.age_ms)
        commands += syncing.record_confirmation(state, confirmed_ms)
        state.list_unconfirmed = False
        state.start_confirmed = True
    else:
        commands += exclude_outdated(state, answered, now_ms)
    if updates.revision > state.revision or lacks_retained(state, updates):
        commands += apply_updates(state, updates, now_ms)
    elif updates.in_touch:
        if updates.complete:
            # The peer has no newer revision, so this node's is current.
            state.list_needed = False
        status = state.status(now_ms)
        commands += relaying.answer_waiting(state.relay, status)
    if updates.in_touch:
        syncing.clear_missed_updates(state)
        if answered.sent_ms is not None and updates.proof_age_ms is not None:
            sent_ms = answered.sent_ms - updates.proof_age_ms
            proving.record_proof(state, sent_ms)
        commands += proving.report_confirmation(state)
    return [*commands, *syncing.resume(state, now_ms)]


def lacks_retained(
    state: states.DiscoveryState, updates: relaying.RelayedUpdates
) -> bool:
    """Return whether updates have what this node has not learned since start.

    They are applied even if their revision is lower than this node's; the
    changes in between are then read again.
    """
    return bool(
        updates.in_touch
        and updates.complete
        and state.era
        and not state.retained_known
    )


def exclude_outdated(
    state: states.DiscoveryState,
    answered: relaying.PeerAnswered,
    now_ms: int,
) -> list[command.Command]:
    """Exclude a peer that gets no updates itself."""
    syncing.mark_updates_missed(state)
    relaying.exclude_outdated_peer(state.relay, answered.node_id, now_ms)
    fields: dict[str, str | int | float] = {
        'peer': answered.node_id,
        'revision': answered.updates.revision,
    }
    return [messages.Decision('peer_excluded', 'out_of_touch', fields)]


def drop_older_updates(
    state: states.DiscoveryState,
    answered: relaying.PeerAnswered,
    now_ms: int,
) -> list[command.Command]:
    """Drop the updates of a peer that knows only an older era.

    A peer of a release that knows no eras is taken to be behind, since its
    revisions cannot be compared with those of a known era.
    """
    syncing.mark_updates_missed(state)
    relaying.exclude_peer_behind(state.relay, answered.node_id, now_ms)
    return [
        *eras.drop_older_answer(
            state, answered.updates.era or 0, answered.node_id
        ),
        *syncing.resume(state, now_ms),
    ]


def apply_updates(
    state: states.DiscoveryState, updates: relaying.RelayedUpdates, now_ms: int
) -> list[command.Command]:
    """Apply updates that are newer than this node's revision."""
    if updates.complete:
        state.retained_known = state.retained_known or updates.in_touch
        listed = store_listed.StoreListed(updates.revision, updates.records)
        return listing.apply_list(state, listed, now_ms)
    changed = store_changed.StoreChanged(updates.revision, updates.records)
    return syncing.apply_changes(state, changed, now_ms)


def handle_peer_failure(
    state: states.DiscoveryState, failed: relaying.PeerFailed, now_ms: int
) -> list[command.Command]:
    """Exclude a peer for a time and poll another source at once."""
    syncing.mark_updates_missed(state)
    relaying.exclude_failed_peer(state.relay, failed.node_id, now_ms)
    fields: dict[str, str | int | float] = {
        'peer': failed.node_id,
        'failures': state.relay.failures[failed.node_id],
        'revision': state.revision,
    }
    return [
        messages.Decision('peer_lost', failed.reason, fields),
        messages.Count('discovery.peers_lost'),
        *syncing.resume(state, now_ms),
    ]
