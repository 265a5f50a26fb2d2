"""The loop of listing and watching the store, or another node."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import applying
from gypsumbridge_decisions.discovery import command
from gypsumbridge_decisions.discovery import discovery_ready
from gypsumbridge_decisions.discovery import list_store
from gypsumbridge_decisions.discovery import resume_timer
from gypsumbridge_decisions.discovery import state as states
from gypsumbridge_decisions.discovery import store_changed
from gypsumbridge_decisions.discovery import store_listed
from gypsumbridge_decisions.discovery import watch_store
from gypsumbridge_decisions.discovery import write_node

# A waiting watch is a call that is paid for; one on a connection that went
# silent, with its probes unanswered, is given up at its end.
WATCH_MS = 3_000
# Of a node that relays. The others learn from its end that nothing has
# changed, and go elsewhere when that does not come.
RELAYING_WATCH_MS = 1_000
# Changes that come within this time of each other are read in one call.
COALESCE_MS = 300
RELAYING_COALESCE_MS = 400
# The store sends some 500 changes in one response. A node that missed more
# than that does not wait between responses, or it would fall further behind.
MANY_CHANGES = 250
FIRST_RETRY_MS = 100
MAX_RETRY_MS = 800
# All nodes of a new fleet start together; after this time most have written
# their keys, and can be asked.
SETTLE_MS = 1_500


def resume(state: states.DiscoveryState, now_ms: int) -> list[command.Command]:
    """Make the next call to a peer or to the store."""
    nodes = len(state.nodes)
    age_ms = now_ms - state.confirmed_ms
    source = relaying.choose_source(state.relay, nodes, age_ms, now_ms)
    if source.delay_ms:
        timer = messages.Timer(source.delay_ms, resume_timer.ResumeTimer())
        return [*lose(state, 'peers_without_news', now_ms), timer]
    commands = note_source(state, source.peer)
    if source.peer is not None:
        after = 0 if state.list_needed else state.revision
        watch = relaying.WatchPeer(source.peer, after, source.poll_ms)
        return [*commands, watch]
    if state.list_needed:
        stale_ok = not state.exact_list_needed
        return [*commands, list_store.ListStore(stale_ok)]
    relayed = relaying.is_relayed(state.relay, nodes)
    wait_ms = RELAYING_WATCH_MS if relayed else WATCH_MS
    return [*commands, watch_store.WatchStore(state.revision, wait_ms)]


def note_source(
    state: states.DiscoveryState, source: relaying.PeerNode | None
) -> list[command.Command]:
    """Remember where news come from, and log a change."""
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


def take_list(
    state: states.DiscoveryState,
    listed: store_listed.StoreListed,
    now_ms: int,
) -> list[command.Command]:
    """Replace what is known by a list of the store, and go on."""
    commands = regain(state, now_ms)
    relaying.clear_store(state.relay)
    state.list_needed = False
    if listed.revision >= state.revision:
        commands += apply_list(state, listed, now_ms)
    catch_up(state)
    if state.writing_node and state.relay.own.address and not state.settled:
        # Without the other nodes' keys each node would watch the store.
        state.settled = True
        state.list_needed = True
        timer = messages.Timer(SETTLE_MS, resume_timer.ResumeTimer())
        return [*commands, timer]
    return [*commands, *resume(state, now_ms)]


def apply_list(
    state: states.DiscoveryState,
    listed: store_listed.StoreListed,
    now_ms: int,
) -> list[command.Command]:
    """Replace what is known by all records of a revision."""
    state.revision = listed.revision
    state.list_needed = False
    state.exact_list_needed = False
    state.relay.log.replace(listed.records, listed.revision)
    present = {record.key for record in listed.records}
    prefix = state.schema.searcher_prefix
    gone = tuple(
        relaying.StoreRecord(prefix + name, listed.revision, None)
        for name in state.searchers
        if prefix + name not in present
    )
    return apply(state, listed.records + gone, now_ms)


def take_changes(
    state: states.DiscoveryState,
    changed: store_changed.StoreChanged,
    now_ms: int,
) -> list[command.Command]:
    """Apply changes and watch again, after a pause if there were some."""
    commands = regain(state, now_ms)
    relaying.clear_store(state.relay)
    commands += apply_changes(state, changed, now_ms)
    catch_up(state)
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
    """Apply the records that changed up to a revision."""
    state.revision = max(state.revision, changed.revision)
    state.relay.log.add(changed.records)
    return apply(state, changed.records, now_ms)


def apply(
    state: states.DiscoveryState,
    records: tuple[relaying.StoreRecord, ...],
    now_ms: int,
) -> list[command.Command]:
    """Apply records, and pass them on to the nodes that wait for them."""
    return [
        *applying.apply_records(state, records, now_ms),
        *relaying.answer_waiting(state.relay, state.status(now_ms)),
        *announce(state),
    ]


def lose_history(
    state: states.DiscoveryState, now_ms: int
) -> list[command.Command]:
    """List the store again."""
    state.list_needed = True
    # An old list would be followed by a watch of the lost history again.
    state.exact_list_needed = True
    decision = messages.Decision(
        'store_history_lost', 'compacted', {'revision': state.revision}
    )
    return [decision, *resume(state, now_ms)]


def fail(
    state: states.DiscoveryState, reason: str, now_ms: int
) -> list[command.Command]:
    """Try again later; what is known stays in force."""
    commands = lose(state, reason, now_ms)
    state.store_failed = True
    if relaying.peers_ahead(state.relay, len(state.nodes)):
        relaying.bar_store(state.relay, now_ms)
    delay_ms = FIRST_RETRY_MS << min(state.failures - 1, 8)
    timer = messages.Timer(
        min(delay_ms, MAX_RETRY_MS), resume_timer.ResumeTimer()
    )
    return [*commands, timer]


def lose(
    state: states.DiscoveryState, reason: str, now_ms: int
) -> list[command.Command]:
    """Note that no news arrive."""
    state.failures += 1
    if state.failures > 1:
        return []
    fields: dict[str, str | int | float] = {'revision': state.revision}
    return [
        messages.Decision('store_lost', reason, fields),
        # Nodes that wait for news of this one have to ask elsewhere.
        *relaying.answer_waiting(state.relay, state.status(now_ms)),
    ]


def catch_up(state: states.DiscoveryState) -> None:
    """Note that all missed news have been applied."""
    state.missed_since_ms = None
    state.store_failed = False


def regain(
    state: states.DiscoveryState, confirmed_ms: int
) -> list[command.Command]:
    """Note that the store's news of a time have arrived."""
    state.confirmed_ms = confirmed_ms
    if not state.failures:
        return []
    fields: dict[str, str | int | float] = {
        'failures': state.failures,
        'revision': state.revision,
    }
    state.failures = 0
    return [messages.Decision('store_regained', 'answered', fields)]


def announce(state: states.DiscoveryState) -> list[command.Command]:
    """Report readiness once, and write this node's key if it is missing.

    The key has no lease: it counts the nodes that share the limits and
    names those that can be asked for news. One that is gone does no harm
    in either.
    """
    commands: list[command.Command] = []
    if not state.listed and state.routes_version is not None:
        state.listed = True
        commands.append(discovery_ready.DiscoveryReady())
    own = state.relay.own
    known = state.node_written or state.relay.peers.get(own.node_id) == own
    if not known and not state.writing_node:
        state.writing_node = True
        commands.append(write_node.WriteNode(own))
    return commands
