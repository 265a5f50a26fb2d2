"""The loop that lists and watches the store, or polls another node."""

import dataclasses

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import applying
from gypsumbridge_decisions.discovery import command
from gypsumbridge_decisions.discovery import discovery_ready
from gypsumbridge_decisions.discovery import eras
from gypsumbridge_decisions.discovery import list_store
from gypsumbridge_decisions.discovery import proving
from gypsumbridge_decisions.discovery import restoring
from gypsumbridge_decisions.discovery import resume_timer
from gypsumbridge_decisions.discovery import state as states
from gypsumbridge_decisions.discovery import store_changed
from gypsumbridge_decisions.discovery import watch_store
from gypsumbridge_decisions.discovery import write_node

# Each watch is a billed call. On a connection that became unresponsive and
# does not answer keep-alive probes, a watch is abandoned at its end.
WATCH_MS = 3_000
# The wait of a relay's watch. Its end confirms to the other nodes that nothing
# has changed; without that confirmation they use another source.
RELAYING_WATCH_MS = 1_000
# Changes that occur within this time of each other are read in one call.
COALESCE_MS = 300
RELAYING_COALESCE_MS = 400
# The store returns about 500 changes in one response. After a response with at
# least this many, a node reads on without a pause, or it would fall further
# behind.
MANY_CHANGES = 250
FIRST_RETRY_MS = 100
MAX_RETRY_MS = 800


def resume(state: states.DiscoveryState, now_ms: int) -> list[command.Command]:
    """Make the next call to a peer or to the store."""
    nodes = len(state.nodes)
    age_ms = now_ms - state.confirmed_ms
    source = relaying.choose_source(state.relay, nodes, age_ms, now_ms)
    if source.delay_ms:
        timer = messages.Timer(source.delay_ms, resume_timer.ResumeTimer())
        return [*record_outage(state, 'peers_without_news', now_ms), timer]
    commands = record_source(state, source.peer)
    if source.peer is not None:
        # The store's copy lacks what the peers retain from older eras.
        all_needed = state.list_needed or bool(
            state.era and not state.retained_known
        )
        after = 0 if all_needed else state.revision
        watch = relaying.WatchPeer(
            source.peer, after, source.poll_ms, state.era
        )
        return [*commands, watch]
    if state.list_needed:
        stale_ok = not state.exact_list_needed
        state.listing_exactly = state.exact_list_needed
        return [*commands, list_store.ListStore(stale_ok, state.era)]
    return [
        *commands,
        watch_store.WatchStore(state.revision, watch_wait_ms(state)),
    ]


def watch_wait_ms(state: states.DiscoveryState) -> int:
    """Return how long the store may wait for a change.

    The watch after a stale list does not wait, so that its answer confirms
    the list.
    """
    if state.list_unconfirmed:
        return 0
    relayed = relaying.is_relayed(state.relay, len(state.nodes))
    return RELAYING_WATCH_MS if relayed else WATCH_MS


def record_source(
    state: states.DiscoveryState, source: relaying.PeerNode | None
) -> list[command.Command]:
    """Record the source of updates, and log a change of it."""
    name = source.node_id if source is not None else ''
    if name == state.relay.source:
        return []
    fields: dict[str, str | int | float] = {
        'source': name or 'store',
        'before': state.relay.source or 'store',
        'nodes': len(state.nodes),
        'revision': state.revision,
    }
    state.relay.source = name
    return [messages.Decision('update_source_changed', 'rank', fields)]


def handle_changes(
    state: states.DiscoveryState,
    changed: store_changed.StoreChanged,
    now_ms: int,
) -> list[command.Command]:
    """Apply changes and watch again, after a pause if there were a few.

    Without changes, or when the node is far behind, there is no pause.
    """
    commands = record_confirmation(state, now_ms)
    relaying.readmit_store(state.relay)
    state.list_unconfirmed = False
    state.start_confirmed = True
    current = changed.revision >= state.revision
    records = eras.stamp(state, changed.records)
    changed = dataclasses.replace(changed, records=records)
    commands += apply_changes(state, changed, now_ms)
    clear_missed_updates(state)
    if len(changed.records) < MANY_CHANGES:
        # The store may have more changes than one response holds.
        if current:
            proving.record_proof(state, changed.sent_ms)
        commands += proving.report_confirmation(state)
    if not 0 < len(changed.records) < MANY_CHANGES:
        return [*commands, *resume(state, now_ms)]
    relayed = relaying.is_relayed(state.relay, len(state.nodes))
    pause_ms = RELAYING_COALESCE_MS if relayed else COALESCE_MS
    timer = messages.Timer(pause_ms, resume_timer.ResumeTimer())
    return [*commands, timer]


def apply_changes(
    state: states.DiscoveryState,
    changed: store_changed.StoreChanged,
    now_ms: int,
) -> list[command.Command]:
    """Apply the records that changed up to a revision.

    A list can include some of these changes already, and newer ones.
    """
    state.revision = max(state.revision, changed.revision)
    added = state.relay.log.add(changed.records)
    return apply(state, added, now_ms)


def apply(
    state: states.DiscoveryState,
    records: tuple[relaying.StoreRecord, ...],
    now_ms: int,
) -> list[command.Command]:
    """Apply records, and relay them to the nodes with waiting polls."""
    commands = applying.apply_records(state, records, now_ms)
    return [
        *hold_routes(state, commands),
        *restoring.keep_routes(state),
        *relaying.answer_waiting(state.relay, state.status(now_ms)),
        *announce_node(state),
    ]


def handle_store_failure(
    state: states.DiscoveryState, reason: str, now_ms: int
) -> list[command.Command]:
    """Schedule a retry; routes and searchers stay in force."""
    commands = record_outage(state, reason, now_ms)
    state.store_failed = True
    if relaying.peers_ahead(state.relay, len(state.nodes)):
        relaying.exclude_store(state.relay, now_ms)
    delay_ms = FIRST_RETRY_MS << min(state.failures - 1, 8)
    timer = messages.Timer(
        min(delay_ms, MAX_RETRY_MS), resume_timer.ResumeTimer()
    )
    return [*commands, timer]


def record_outage(
    state: states.DiscoveryState, reason: str, now_ms: int
) -> list[command.Command]:
    """Count a failure, and report the first one in a row."""
    state.failures += 1
    if state.failures > 1:
        return []
    fields: dict[str, str | int | float] = {'revision': state.revision}
    return [
        messages.Decision('store_lost', reason, fields),
        # Nodes that poll this one have to use another source.
        *relaying.answer_waiting(state.relay, state.status(now_ms)),
    ]


def mark_updates_missed(state: states.DiscoveryState) -> None:
    """Record that updates since the last answer may be missing."""
    if state.missed_since_ms is None:
        state.missed_since_ms = state.confirmed_ms


def clear_missed_updates(state: states.DiscoveryState) -> None:
    """Record that all missed updates have been applied."""
    state.list_unconfirmed = False
    state.missed_since_ms = None
    state.store_failed = False


def record_confirmation(
    state: states.DiscoveryState, confirmed_ms: int
) -> list[command.Command]:
    """Record when the store last confirmed this node's revision."""
    state.confirmed_ms = confirmed_ms
    if not state.failures:
        return []
    fields: dict[str, str | int | float] = {
        'failures': state.failures,
        'revision': state.revision,
    }
    state.failures = 0
    return [messages.Decision('store_regained', 'answered', fields)]


def announce_node(state: states.DiscoveryState) -> list[command.Command]:
    """Report readiness once, and write this node's key if it is missing.

    The key counts the node among those that share the limits, and lists it
    as a peer that can be polled. It needs no lease, since the key of a
    removed node is harmless in both uses.
    """
    commands: list[command.Command] = []
    known = state.routes_version is not None and not awaits_peers(state)
    if not state.ready_reported and known:
        state.ready_reported = True
        commands.append(discovery_ready.DiscoveryReady())
    own = state.relay.own
    key = state.schema.node_prefix + own.node_id
    record = state.relay.log.records.get(key)
    # A copy from which the store came back may lack the entry.
    in_copy = record is not None and record.era == state.era
    entry_current = state.node_written or (
        in_copy and state.relay.peers.get(own.node_id) == own
    )
    if not entry_current and not state.writing_node:
        state.writing_node = True
        commands.append(write_node.WriteNode(own))
    return commands


def hold_routes(
    state: states.DiscoveryState, commands: list[command.Command]
) -> list[command.Command]:
    """Publish no routes while a process that has just started asks a peer."""
    for found in commands:
        if isinstance(found, forwarding.RoutesChanged):
            state.held_routes = found
    if state.held_routes is None:
        return commands
    held = state.held_routes
    others = [c for c in commands if c is not held]
    if awaits_peers(state):
        return others
    state.held_routes = None
    return [held, *others]


def awaits_peers(state: states.DiscoveryState) -> bool:
    """Return whether a process that has just started has to ask a peer.

    After a restore the store may hold an older configuration than the one
    that the other nodes have in force. If no peer answers, the store does.
    """
    if not state.era or state.start_confirmed:
        return False
    return bool(relaying.peers_ahead(state.relay, len(state.nodes)))
