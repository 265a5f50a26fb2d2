"""Lists of the store."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import command
from gypsumbridge_decisions.discovery import eras
from gypsumbridge_decisions.discovery import evacuating
from gypsumbridge_decisions.discovery import holders
from gypsumbridge_decisions.discovery import proving
from gypsumbridge_decisions.discovery import restoring
from gypsumbridge_decisions.discovery import resume_timer
from gypsumbridge_decisions.discovery import state as states
from gypsumbridge_decisions.discovery import store_listed
from gypsumbridge_decisions.discovery import syncing

# All nodes of a new fleet start together; after this time most of them have
# written their keys and can be polled.
SETTLE_MS = 1_500


def handle_list(
    state: states.DiscoveryState,
    listed: store_listed.StoreListed,
    now_ms: int,
) -> list[command.Command]:
    """Apply a list of the store, and make the next call."""
    stale_ok = not state.listing_exactly
    if stale_ok and state.exact_list_needed:
        # The need arose after the list had been requested.
        return syncing.resume(state, now_ms)
    commands = syncing.record_confirmation(state, now_ms)
    relaying.readmit_store(state.relay)
    if state.revision == 0 and not state.era_pending:
        # Entries that expired before the first list were never known.
        state.store_failed = False
    state.list_needed = False
    state.list_unconfirmed = stale_ok
    current = listed.revision >= state.revision
    if not (stale_ok or current):
        # A store that went back without a new era. Watches would be refused
        # as well, so the next call follows after a pause.
        state.list_needed = state.exact_list_needed = True
        failed = syncing.handle_store_failure(state, 'older_list', now_ms)
        return [*commands, *failed]
    if current:
        records = eras.stamp(state, listed.records)
        listed = dataclasses.replace(listed, records=records)
        commands += apply_list(state, listed, now_ms)
    if stale_ok:
        syncing.mark_updates_missed(state)
    else:
        syncing.clear_missed_updates(state)
        proving.record_proof(state, listed.sent_ms)
        commands += proving.report_confirmation(state)
    if (
        state.writing_node
        and state.relay.own.address
        and not state.settle_timer_set
        and not state.start_confirmed
    ):
        # Without the other nodes' keys each node would watch the store.
        state.settle_timer_set = True
        state.list_needed = True
        timer = messages.Timer(SETTLE_MS, resume_timer.ResumeTimer())
        return [*commands, timer]
    return [*commands, *syncing.resume(state, now_ms)]


def apply_list(
    state: states.DiscoveryState,
    listed: store_listed.StoreListed,
    now_ms: int,
) -> list[command.Command]:
    """Replace the records up to the revision of a list."""
    records, commands = restoring.reconcile(state, listed.records)
    state.revision = listed.revision
    state.list_needed = False
    state.exact_list_needed = False
    state.era_pending = False
    state.relay.log.replace(records, listed.revision, state.era)
    present = state.relay.log.present()
    keys = {record.key for record in present}
    prefix = state.schema.searcher_prefix
    missing = [
        *evacuating.missing_keys(state, keys),
        *(
            prefix + name
            for name in state.searchers
            if prefix + name not in keys
        ),
    ]
    removed = tuple(
        relaying.StoreRecord(key, listed.revision, None, state.era)
        for key in missing
    )
    removed += holders.removed_holders(state, keys, listed.revision)
    return [
        *commands,
        *syncing.apply(state, present + removed, now_ms),
        *restoring.hold_missing(state),
    ]


def handle_history_lost(
    state: states.DiscoveryState, reason: str, now_ms: int
) -> list[command.Command]:
    """List the store again."""
    state.list_needed = True
    # A watch after a stale list could start in the compacted history again.
    state.exact_list_needed = True
    decision = messages.Decision(
        'store_history_lost', reason, {'revision': state.revision}
    )
    return [decision, *syncing.resume(state, now_ms)]
