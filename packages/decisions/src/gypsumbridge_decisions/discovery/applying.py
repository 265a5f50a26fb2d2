"""Application of store records: routes, searchers, nodes, evacuations."""

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import command
from gypsumbridge_decisions.discovery import evacuating
from gypsumbridge_decisions.discovery import holders
from gypsumbridge_decisions.discovery import removal_timer
from gypsumbridge_decisions.discovery import skipping
from gypsumbridge_decisions.discovery import state as states

# A request that was sent just before the removal arrives within this time.
REMOVAL_MARGIN_MS = 500
# As many as the deletions that are retained for other nodes.
MAX_DEPARTED = 1_000


def apply_records(
    state: states.DiscoveryState,
    records: tuple[relaying.StoreRecord, ...],
    now_ms: int,
) -> list[command.Command]:
    """Apply records in order and publish what changed."""
    commands: list[command.Command] = []
    searchers_changed = False
    nodes_before = len(state.nodes)
    peers_changed = False
    evacuated_before = frozenset(state.evacuated)
    holders_changed = False
    for record in records:
        if record.key == state.schema.routes_key:
            commands += apply_routes(state, record)
            continue
        if record.key.startswith(state.schema.node_prefix):
            changed, more = apply_node(state, record)
            peers_changed = peers_changed or changed
            commands += more
            continue
        if record.key.startswith(state.schema.holder_prefix):
            changed, more = holders.apply_holder(state, record)
            holders_changed = holders_changed or changed
            commands += more
            continue
        if record.key.startswith(state.schema.searcher_prefix):
            changed, more = apply_searcher(state, record, now_ms)
            searchers_changed = searchers_changed or changed
            commands += more
            continue
        if evacuating.is_evacuation(state, record.key):
            domain = evacuating.domain_of(state, record.key)
            if domain is None:
                commands += skipping.skip_record(record, evacuating.MALFORMED)
                continue
            evacuating.apply_evacuation(state, domain, record)
    published: list[command.Command] = []
    if searchers_changed:
        published.append(publish_searchers(state))
    # The evacuations and the nodes determine to which searchers connections
    # are opened.
    fleet: list[command.Command] = []
    if state.evacuated != evacuated_before:
        fleet.append(evacuating.publish(state))
        commands += evacuating.log_changes(state, evacuated_before)
    if len(state.nodes) != nodes_before:
        fleet.append(forwarding.FleetSizeChanged(len(state.nodes)))
    if peers_changed:
        nodes = tuple(state.relay.peers.values())
        fleet.append(forwarding.NodesChanged(nodes))
    if holders_changed:
        fleet.append(holders.publish_holders(state))
    # The hold of a new searcher follows its first publication.
    return fleet + published + commands


def publish_searchers(
    state: states.DiscoveryState,
) -> forwarding.SearchersChanged:
    """Return the searchers that may be used now."""
    return forwarding.SearchersChanged(
        state.revision, tuple(state.searchers.values())
    )


def apply_routes(
    state: states.DiscoveryState, record: relaying.StoreRecord
) -> list[command.Command]:
    """Publish newer routes.

    The current routes stay in force if they are deleted from the store or
    replaced by a value that cannot be decoded.
    """
    if record.value is None:
        return skipping.skip_record(record, 'routes were deleted')
    try:
        table = state.schema.decode_routes(record.value)
    except errors.FrameError as error:
        return skipping.skip_record(record, str(error))
    if state.routes_version is not None:
        if table.version <= state.routes_version:
            return []
    state.routes_version = table.version
    state.routes_value = record.value
    return [forwarding.RoutesChanged(table)]


def apply_node(
    state: states.DiscoveryState, record: relaying.StoreRecord
) -> tuple[bool, list[command.Command]]:
    """Count a node, and add it to the peers that can be polled.

    A removed node stays counted, which makes each node's share of the
    limits smaller and is safe. As a peer it is excluded when it does not
    answer.
    """
    state.nodes.add(record.key)
    if record.value is None:
        return False, []
    node_id = record.key.removeprefix(state.schema.node_prefix)
    try:
        found = state.schema.decode_node(node_id, record.value)
    except errors.FrameError as error:
        return False, skipping.skip_record(record, str(error))
    changed = state.relay.peers.get(node_id) != found
    state.relay.peers[node_id] = found
    return changed, []


def apply_searcher(
    state: states.DiscoveryState,
    record: relaying.StoreRecord,
    now_ms: int,
) -> tuple[bool, list[command.Command]]:
    """Add, change or schedule the removal of a searcher.

    During an outage of the store the entry of a live searcher may expire;
    the searcher writes it again soon after. A searcher without an entry is
    therefore kept for the hold time, which is shorter than the time for
    which a leaving searcher may be sent requests.
    """
    searcher_id = record.key.removeprefix(state.schema.searcher_prefix)
    if record.value is None:
        return False, schedule_removal(state, searcher_id, now_ms)
    try:
        found = state.schema.decode_searcher(searcher_id, record.value)
    except errors.FrameError as error:
        return False, [
            *skipping.skip_record(record, str(error)),
            *schedule_removal(state, searcher_id, now_ms),
        ]
    commands: list[command.Command] = []
    if state.removals.pop(searcher_id, None) is not None:
        commands.append(forwarding.HoldChanged(searcher_id, None))
    state.departed.pop(searcher_id, None)
    previous = state.searchers.get(searcher_id)
    state.searchers[searcher_id] = found
    changed = previous != found or not found.is_same_process(previous)
    return changed, commands


def schedule_removal(
    state: states.DiscoveryState, searcher_id: str, now_ms: int
) -> list[command.Command]:
    """Schedule the removal of a searcher whose entry is missing."""
    if searcher_id not in state.searchers or searcher_id in state.removals:
        return []
    record_departure(state, searcher_id)
    due_ms = now_ms + state.hold_ms
    if state.missed_since_ms is not None and not state.store_failed:
        # The entry may have been deleted long before this node was notified.
        last_ms = state.missed_since_ms + state.drain_ms - REMOVAL_MARGIN_MS
        due_ms = max(now_ms, min(due_ms, last_ms))
    state.removals[searcher_id] = due_ms
    timer = removal_timer.RemovalTimer()
    return [
        forwarding.HoldChanged(searcher_id, due_ms),
        messages.Timer(due_ms - now_ms, timer),
    ]


def record_departure(state: states.DiscoveryState, searcher_id: str) -> None:
    """Remember the order of a searcher's last entry.

    After a restore it tells whether an entry was written before or after.
    """
    last = state.searchers[searcher_id]
    state.departed[searcher_id] = (last.incarnation, last.sequence)
    while len(state.departed) > MAX_DEPARTED:
        del state.departed[next(iter(state.departed))]


def remove_due_searchers(
    state: states.DiscoveryState, now_ms: int
) -> list[command.Command]:
    """Drop the searchers whose hold time has passed."""
    due = [name for name, at in state.removals.items() if at <= now_ms]
    if not due:
        return []
    for searcher_id in due:
        del state.removals[searcher_id]
        del state.searchers[searcher_id]
    fields: dict[str, str | int | float] = {
        'searchers': ','.join(due),
        'revision': state.revision,
    }
    return [
        messages.Decision('searchers_removed', 'entry_missing', fields),
        publish_searchers(state),
    ]
