"""The loop of listing and watching the store."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.discovery import applying
from gypsumbridge_decisions.discovery import command
from gypsumbridge_decisions.discovery import discovery_ready
from gypsumbridge_decisions.discovery import list_store
from gypsumbridge_decisions.discovery import resume_timer
from gypsumbridge_decisions.discovery import state as states
from gypsumbridge_decisions.discovery import store_changed
from gypsumbridge_decisions.discovery import store_listed
from gypsumbridge_decisions.discovery import store_record
from gypsumbridge_decisions.discovery import watch_store
from gypsumbridge_decisions.discovery import write_node

# A waiting watch is a call that is paid for; one on a connection that went
# silent, with its probes unanswered, is given up at its end. The more nodes
# share the price, the longer each one waits.
WATCH_MS = 3_000
MAX_WATCH_MS = 25_000
# Changes that come within this time of each other are read in one call.
COALESCE_MS = 300
MAX_COALESCE_MS = 1_000
# The store sends some 500 changes in one response. A node that missed more
# than that does not wait between responses, or it would fall further behind.
MANY_CHANGES = 250
# The fleet for which the times above are meant; larger ones scale them.
SMALL_FLEET = 10
FIRST_RETRY_MS = 100
MAX_RETRY_MS = 800


def resume(state: states.DiscoveryState) -> list[command.Command]:
    """Make the next call to the store."""
    if state.list_needed:
        return [list_store.ListStore()]
    wait_ms = scale(state, WATCH_MS, MAX_WATCH_MS)
    return [watch_store.WatchStore(state.revision, wait_ms)]


def scale(state: states.DiscoveryState, time_ms: int, most_ms: int) -> int:
    """Return a time in proportion to the fleet, within bounds."""
    nodes = max(SMALL_FLEET, len(state.nodes))
    return min(most_ms, time_ms * nodes // SMALL_FLEET)


def take_list(
    state: states.DiscoveryState,
    listed: store_listed.StoreListed,
    now_ms: int,
) -> list[command.Command]:
    """Replace what is known by a list of the store."""
    state.revision = listed.revision
    state.list_needed = False
    present = {record.key for record in listed.records}
    prefix = state.schema.searcher_prefix
    gone = tuple(
        store_record.StoreRecord(prefix + name, listed.revision, None)
        for name in state.searchers
        if prefix + name not in present
    )
    commands = regain(state)
    commands += applying.apply_records(state, listed.records + gone, now_ms)
    commands += announce(state)
    return [*commands, *resume(state)]


def take_changes(
    state: states.DiscoveryState,
    changed: store_changed.StoreChanged,
    now_ms: int,
) -> list[command.Command]:
    """Apply changes and watch again, after a pause if there were some."""
    state.revision = max(state.revision, changed.revision)
    commands = regain(state)
    commands += applying.apply_records(state, changed.records, now_ms)
    commands += announce(state)
    if not 0 < len(changed.records) < MANY_CHANGES:
        return [*commands, *resume(state)]
    pause_ms = scale(state, COALESCE_MS, MAX_COALESCE_MS)
    timer = messages.Timer(pause_ms, resume_timer.ResumeTimer())
    return [*commands, timer]


def lose_history(state: states.DiscoveryState) -> list[command.Command]:
    """List the store again."""
    state.list_needed = True
    decision = messages.Decision(
        'store_history_lost', 'compacted', {'revision': state.revision}
    )
    return [decision, *resume(state)]


def fail(state: states.DiscoveryState, reason: str) -> list[command.Command]:
    """Try again later; what is known stays in force."""
    state.failures += 1
    delay_ms = min(FIRST_RETRY_MS << min(state.failures - 1, 8), MAX_RETRY_MS)
    commands: list[command.Command] = []
    if state.failures == 1:
        fields: dict[str, str | int | float] = {'revision': state.revision}
        commands.append(messages.Decision('store_lost', reason, fields))
    commands.append(messages.Timer(delay_ms, resume_timer.ResumeTimer()))
    return commands


def regain(state: states.DiscoveryState) -> list[command.Command]:
    """Note that the store answers again."""
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

    The key has no lease: it only counts the nodes that share the limits,
    and counting one that is gone is safe.
    """
    commands: list[command.Command] = []
    if not state.listed and state.routes_version is not None:
        state.listed = True
        commands.append(discovery_ready.DiscoveryReady())
    own_key = state.schema.node_prefix + state.node_id
    if own_key not in state.nodes and not state.writing_node:
        state.writing_node = True
        commands.append(write_node.WriteNode())
    return commands
