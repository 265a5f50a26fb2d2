"""Failure domains under evacuation, from the keys of the store."""

import collections

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import command
from gypsumbridge_decisions.discovery import state as states

MALFORMED = 'key of an evacuation names no failure domain'


def domain_of(state: states.DiscoveryState, key: str) -> str | None:
    """Return the failure domain that a key names; None if malformed."""
    name = key.removeprefix(state.schema.evacuation_prefix)
    return name if name and name.isprintable() and '/' not in name else None


def is_evacuation(state: states.DiscoveryState, key: str) -> bool:
    """Return whether a key requests an evacuation."""
    prefix = state.schema.evacuation_prefix
    return bool(prefix) and key.startswith(prefix)


def apply_evacuation(
    state: states.DiscoveryState, domain: str, record: relaying.StoreRecord
) -> None:
    """Begin or end an evacuation; the value of the key does not matter."""
    if record.value is None:
        state.evacuated.discard(domain)
    else:
        state.evacuated.add(domain)


def missing_keys(
    state: states.DiscoveryState, present: set[str]
) -> tuple[str, ...]:
    """Return the keys of evacuations that a list of the store lacks."""
    prefix = state.schema.evacuation_prefix
    return tuple(
        prefix + domain
        for domain in sorted(state.evacuated)
        if prefix + domain not in present
    )


def log_changes(
    state: states.DiscoveryState, before: frozenset[str]
) -> list[command.Command]:
    """Return the log lines of evacuations that began or ended.

    The records of a list have been applied, so that the numbers count all
    searchers.
    """
    searchers = collections.Counter(
        found.failure_domain for found in state.searchers.values()
    )
    nodes = collections.Counter(
        node.failure_domain for node in state.relay.peers.values()
    )
    commands: list[command.Command] = []
    for domain in sorted(before ^ state.evacuated):
        event = 'ended' if domain in before else 'began'
        known = searchers[domain] or nodes[domain]
        fields: dict[str, str | int | float] = {
            'failure_domain': domain,
            'searchers': searchers[domain],
            'nodes': nodes[domain],
            'revision': state.revision,
        }
        commands += [
            messages.Decision(
                f'evacuation_{event}',
                'store' if known else 'unknown_domain',
                fields,
            ),
            messages.Count(f'discovery.evacuations_{event}'),
        ]
    return commands


def publish(state: states.DiscoveryState) -> forwarding.EvacuationChanged:
    """Return the failure domains under evacuation."""
    return forwarding.EvacuationChanged(frozenset(state.evacuated))
