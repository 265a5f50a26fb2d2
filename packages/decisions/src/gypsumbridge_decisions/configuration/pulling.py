"""Pulls from parents and from relays of other failure domains."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.configuration import command
from gypsumbridge_decisions.configuration import open_pull
from gypsumbridge_decisions.configuration import reporting
from gypsumbridge_decisions.configuration import state as states
from gypsumbridge_decisions.configuration import summaries
from gypsumbridge_decisions.configuration import tree

# Two pulls; after that a node asks its next candidate.
SILENCE_MS = 1_000
# A node that left a silent parent tries its preferred one again after
# this many pulls (10 s).
RETRY_TICKS = 20
# Other failure domains that a relay asks on one tick. At 26 failure
# domains it reaches all of them in 3.5 s, and a majority by the proofs of
# those that it asks; with 8 a relay sent 20 KB a second, with 4 it is 12.
DOMAINS_PER_TICK = 4


def pull_all(
    state: states.ConfigurationState, now_ms: int
) -> list[command.Command]:
    """Pull from everyone whose turn it is."""
    commands: list[command.Command] = []
    for node_id in targets(state, now_ms):
        commands += pull(state, node_id, now_ms)
    return commands


def targets(state: states.ConfigurationState, now_ms: int) -> list[str]:
    """Return the nodes to pull from on this tick."""
    if not state.is_relay:
        parent = choose_parent(state, now_ms)
        found = [] if parent is None else [parent]
        if state.core.recovered:
            return found
        # A node that starts asks every failure domain for its vote.
        return found + other_domains(state)
    relays = state.own_order[: tree.RELAYS]
    fellows = [relay for relay in relays if relay != state.node_id]
    return fellows + other_domains(state)


def choose_parent(state: states.ConfigurationState, now_ms: int) -> str | None:
    """Return the parent, the next candidate once it has been silent."""
    candidates = tree.parents(state.own_order, state.node_id)
    if not candidates:
        return None
    if state.ticks % RETRY_TICKS == 0:
        state.parent_number = 0
    parent = candidates[state.parent_number % len(candidates)]
    waiting = state.pulls.get(parent)
    if waiting is None or now_ms - waiting.sent_ms < SILENCE_MS:
        return parent
    del state.pulls[parent]
    state.parent_number += 1
    return candidates[state.parent_number % len(candidates)]


def other_domains(state: states.ConfigurationState) -> list[str]:
    """Return one relay of each other failure domain whose turn it is."""
    domains = sorted(d for d in state.orders if d != state.core.failure_domain)
    if not domains:
        return []
    start = state.ticks * DOMAINS_PER_TICK
    found = []
    for offset in range(min(DOMAINS_PER_TICK, len(domains))):
        turn = start + offset
        relays = state.orders[domains[turn % len(domains)]][: tree.RELAYS]
        # The relay changes on each round, so a silent one costs one turn.
        number = turn // len(domains) + state.ticks
        found.append(relays[number % len(relays)])
    return found


def pull(
    state: states.ConfigurationState, node_id: str, now_ms: int
) -> list[command.Command]:
    """Send a pull unless one to the same node still waits."""
    waiting = state.pulls.get(node_id)
    if waiting is not None and now_ms - waiting.sent_ms < SILENCE_MS:
        return []
    state.tokens += 1
    state.pulls[node_id] = open_pull.OpenPull(state.tokens, now_ms)
    staged = state.staged
    last = staged.items[-1].key if staged and staged.items else ''
    message = messages.ConfigPull(
        sender=state.node_id,
        failure_domain=state.core.failure_domain,
        token=state.tokens,
        revision=state.core.revision,
        report=reporting.subtree_report(state, now_ms),
        digest=summaries.wanted_digest(state, now_ms),
        snapshot_revision=staged.revision if staged else 0,
        after_key=last,
        stamp_ms=state.stamps.get(node_id),
    )
    return [messages.ToPeer(node_id, message)]
