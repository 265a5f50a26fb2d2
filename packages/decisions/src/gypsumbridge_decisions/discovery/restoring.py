"""What is kept, ignored and used of a copy from which the store came back.

`docs/design/eras.md` gives the reasons for the order of the records.
"""

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import command
from gypsumbridge_decisions.discovery import evacuating
from gypsumbridge_decisions.discovery import restore_timer
from gypsumbridge_decisions.discovery import state as states

# The operator and the searchers write their entries again within some
# seconds after the store has come back.
RESTORE_HOLD_MS = 10_000
# Keys named in a log line; its count has all of them.
MAX_LOGGED_KEYS = 5


def reconcile(
    state: states.DiscoveryState, listed: tuple[relaying.StoreRecord, ...]
) -> tuple[tuple[relaying.StoreRecord, ...], list[command.Command]]:
    """Return a list of the store, corrected by what is known.

    A key that is known to be deleted stays deleted, and a searcher's newer
    entry stays in force, at the position of the listed record: the next
    change of the key in the new era has a higher one.
    """
    corrected: list[relaying.StoreRecord] = []
    ignored: list[str] = []
    for record in listed:
        known = state.relay.log.records.get(record.key)
        if known is not None and is_outdated(state, known, record):
            if known.era < record.era:
                ignored.append(record.key)
            record = relaying.StoreRecord(
                record.key, record.revision, known.value, record.era
            )
        corrected.append(record)
    commands = log_keys('store_entries_ignored', 'known_newer', ignored)
    return tuple(corrected), commands


def is_outdated(
    state: states.DiscoveryState,
    known: relaying.StoreRecord,
    found: relaying.StoreRecord,
) -> bool:
    """Return whether a listed record may be older than the known one.

    The copy keeps the revisions of its entries, so one with a higher
    revision than the known record is newer, in whichever era it was written.
    """
    if known.position() == found.position():
        corrected = known.value != found.value
        return corrected and precedes_correction(state, known, found)
    if known.era >= found.era or found.value is None:
        return False
    if found.key == state.schema.routes_key:
        # The version decides.
        return False
    if found.key.startswith(state.schema.holder_prefix):
        # A write of the holder needs the revision that the store has.
        return False
    if found.revision > known.revision:
        return False
    if not found.key.startswith(state.schema.searcher_prefix):
        return known.value is None
    order = entry_order(state, found)
    if known.value is not None:
        return order < entry_order(state, known)
    searcher_id = found.key.removeprefix(state.schema.searcher_prefix)
    departed = state.departed.get(searcher_id)
    return departed is None or order <= departed


def precedes_correction(
    state: states.DiscoveryState,
    known: relaying.StoreRecord,
    found: relaying.StoreRecord,
) -> bool:
    """Return whether the known one of two records at a position is kept.

    They differ if one of two nodes has corrected the store's record.
    """
    if known.value is None or found.value is None:
        return known.value is None
    if found.key.startswith(state.schema.searcher_prefix):
        return entry_order(state, found) < entry_order(state, known)
    return False


def entry_order(
    state: states.DiscoveryState, record: relaying.StoreRecord
) -> tuple[int, int]:
    """Return what orders the entries of a searcher, whatever the era.

    An entry that cannot be decoded precedes all others.
    """
    searcher_id = record.key.removeprefix(state.schema.searcher_prefix)
    try:
        found = state.schema.decode_searcher(searcher_id, record.value or b'')
    except errors.FrameError:
        return -1, -1
    return found.incarnation, found.sequence


def keep_routes(state: states.DiscoveryState) -> list[command.Command]:
    """Relay the configuration in force in place of an older one.

    A node that restarts would otherwise get the older one from this node.
    """
    if not state.era or state.routes_value is None:
        return []
    record = state.relay.log.records.get(state.schema.routes_key)
    if record is None or record.value == state.routes_value:
        return []
    state.relay.log.put(
        relaying.StoreRecord(
            record.key, record.revision, state.routes_value, record.era
        )
    )
    return log_keys('store_entries_ignored', 'not_newer', [record.key])


def hold_missing(
    state: states.DiscoveryState,
) -> list[command.Command]:
    """Start the hold of the entries that the copy lacks and others write.

    All entries that it lacks are logged once in an era.
    """
    kept = [r.key for r in state.relay.log.present() if r.era < state.era]
    commands: list[command.Command] = []
    if kept and state.kept_era != state.era:
        state.kept_era = state.era
        commands += log_keys('store_entries_kept', 'missing_in_copy', kept)
    held = any(is_held(state, key) for key in kept)
    if held and state.restore_timer_era != state.era:
        state.restore_timer_era = state.era
        timer = restore_timer.RestoreTimer(state.era)
        commands.append(messages.Timer(RESTORE_HOLD_MS, timer))
    return commands


def end_hold(
    state: states.DiscoveryState, ended: restore_timer.RestoreTimer
) -> tuple[relaying.StoreRecord, ...]:
    """Return deletions of the held entries that are still missing.

    Everything else that the copy lacks stays in force.
    """
    if ended.era != state.era:
        return ()
    state.restore_timer_era = None
    return tuple(
        relaying.StoreRecord(record.key, state.revision, None, state.era)
        for record in state.relay.log.present()
        if record.era < state.era and is_held(state, record.key)
    )


def is_held(state: states.DiscoveryState, key: str) -> bool:
    """Return whether an entry is dropped if it stays missing.

    Searchers and operators write what they want again. An evacuation whose
    end was acknowledged before the restore would otherwise last for good at
    nodes that have not seen the end.
    """
    return key.startswith(
        state.schema.searcher_prefix
    ) or evacuating.is_evacuation(state, key)


def log_keys(name: str, reason: str, keys: list[str]) -> list[command.Command]:
    """Log and count the keys that a decision concerns."""
    if not keys:
        return []
    fields: dict[str, str | int | float] = {
        'count': len(keys),
        'keys': ','.join(sorted(keys)[:MAX_LOGGED_KEYS]),
    }
    return [
        messages.Decision(name, reason, fields),
        messages.Count(f'discovery.{name}', len(keys)),
    ]
