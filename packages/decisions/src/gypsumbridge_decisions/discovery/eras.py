"""Eras of the store, which begin when it comes back from a copy."""

from collections.abc import Iterable
import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import command
from gypsumbridge_decisions.discovery import state as states


def begin_newer_era(
    state: states.DiscoveryState, era: int | None, source: str
) -> list[command.Command]:
    """Begin the era of a response if it is newer than the known one.

    The store has to be listed exactly then. What is known from older eras
    stays in force until that list.
    """
    if era is None or era <= state.era:
        return []
    before = state.era
    state.era = era
    if state.revision == 0 and not state.relay.log.records:
        # A process that knows nothing yet has nothing to keep.
        state.relay.log.era = era
        return []
    fields: dict[str, str | int | float] = {
        'era': era,
        'before': before,
        'revision': state.revision,
        'source': source,
    }
    state.revision = 0
    state.era_pending = True
    state.list_needed = True
    state.exact_list_needed = True
    state.node_written = False
    state.proven_ms = None
    return [
        messages.Decision('store_era_began', 'newer_era', fields),
        messages.Count('discovery.eras_begun'),
    ]


def drop_older_answer(
    state: states.DiscoveryState, era: int, kind: str
) -> list[command.Command]:
    """Log and count a response of an older era, which is not used."""
    return [
        messages.Decision(
            'store_answer_dropped',
            'older_era',
            {'era': era, 'known': state.era, 'kind': kind},
        ),
        messages.Count('discovery.older_era_dropped'),
    ]


def report_missing_era(
    state: states.DiscoveryState, era: int | None
) -> list[command.Command]:
    """Log once that a response states no era though eras are known."""
    if era is not None or not state.era or state.era_missing_logged:
        return []
    state.era_missing_logged = True
    return [
        messages.Decision(
            'store_era_missing', 'absent_or_no_number', {'era': state.era}
        )
    ]


def stamp(
    state: states.DiscoveryState, records: Iterable[relaying.StoreRecord]
) -> tuple[relaying.StoreRecord, ...]:
    """Return records that the store has sent with the known era."""
    if not state.era:
        return tuple(records)
    return tuple(
        dataclasses.replace(record, era=state.era) for record in records
    )
