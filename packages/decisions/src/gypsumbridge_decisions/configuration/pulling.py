"""Pulls from parents and from relays of other failure domains."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.configuration import command
from gypsumbridge_decisions.configuration import pending_pull
from gypsumbridge_decisions.configuration import reporting
from gypsumbridge_decisions.configuration import state as states
from gypsumbridge_decisions.configuration import summaries
from gypsumbridge_decisions.configuration import tree

# Two pull intervals; after that a node pulls from its next candidate.
PULL_TIMEOUT_MS = 1_000
# A node that replaced an unresponsive parent retries the preferred one at
# this interval (10 s).
PREFERRED_PARENT_RETRY_TICKS = 20
# Other failure domains that a relay pulls from on one tick. With 26 failure
# domains a relay reaches all of them in 3.5 s, and gets proofs of a
# majority sooner in their replies. At 8 a relay sends 20 KB/s, at 4 it sends
# 12 KB/s.
DOMAINS_PER_TICK = 4


def pull_all(
    state: states.ConfigurationState, now_ms: int
) -> list[command.Command]:
    """Pull from all targets of this tick."""
    commands: list[command.Command] = []
    for node_id in pull_targets(state, now_ms):
        commands += pull(state, node_id, now_ms)
    return commands


def pull_targets(state: states.ConfigurationState, now_ms: int) -> list[str]:
    """Return the nodes to pull from on this tick."""
    if not state.is_relay:
        parent = choose_parent(state, now_ms)
        found = [] if parent is None else [parent]
        if state.core.recovered:
            return found
        # A starting node collects the votes of all failure domains.
        return found + other_domain_relays(state)
    relays = state.own_order[: tree.RELAYS_PER_DOMAIN]
    other_relays = [relay for relay in relays if relay != state.node_id]
    return other_relays + other_domain_relays(state)


def choose_parent(state: states.ConfigurationState, now_ms: int) -> str | None:
    """Return the parent, or the next candidate if its pull timed out."""
    candidates = tree.parent_candidates(state.own_order, state.node_id)
    if not candidates:
        return None
    if state.ticks % PREFERRED_PARENT_RETRY_TICKS == 0:
        state.parent_index = 0
    parent = candidates[state.parent_index % len(candidates)]
    pending = state.pulls.get(parent)
    if pending is None or now_ms - pending.sent_ms < PULL_TIMEOUT_MS:
        return parent
    del state.pulls[parent]
    state.parent_index += 1
    return candidates[state.parent_index % len(candidates)]


def other_domain_relays(state: states.ConfigurationState) -> list[str]:
    """Return one relay of each failure domain to pull from on this tick.

    The other failure domains take turns in round-robin order.
    """
    domains = sorted(d for d in state.orders if d != state.core.failure_domain)
    if not domains:
        return []
    start = state.ticks * DOMAINS_PER_TICK
    found = []
    for offset in range(min(DOMAINS_PER_TICK, len(domains))):
        turn = start + offset
        relays = state.orders[domains[turn % len(domains)]][
            : tree.RELAYS_PER_DOMAIN
        ]
        # The relay alternates, so an unresponsive one costs one turn only.
        relay_index = turn // len(domains) + state.ticks
        found.append(relays[relay_index % len(relays)])
    return found


def pull(
    state: states.ConfigurationState, node_id: str, now_ms: int
) -> list[command.Command]:
    """Send a pull unless one to the same node is pending."""
    pending = state.pulls.get(node_id)
    if pending is not None and now_ms - pending.sent_ms < PULL_TIMEOUT_MS:
        return []
    state.last_token += 1
    state.pulls[node_id] = pending_pull.PendingPull(state.last_token, now_ms)
    staged = state.staged
    last = staged.items[-1].key if staged and staged.items else ''
    message = messages.ConfigPull(
        sender=state.node_id,
        failure_domain=state.core.failure_domain,
        token=state.last_token,
        revision=state.core.revision,
        report=reporting.subtree_report(state, now_ms),
        digest=summaries.pull_digest(state, now_ms),
        snapshot_revision=staged.revision if staged else 0,
        after_key=last,
        stamp_ms=state.stamps.get(node_id),
    )
    return [messages.ToPeer(node_id, message)]
