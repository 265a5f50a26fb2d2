"""Model of a token from the request to its use.

Any step may be late, as after a pause, a suspension or on a slow link.
"""

from collections.abc import Iterator
import dataclasses

import minicheck

from gypsumbridge_decisions import quotas
from gypsumbridge_standins.models import check
from gypsumbridge_standins.models import grant_steps
from gypsumbridge_standins.models import grant_world

IN_TIME = 'used_in_time'
TICK_MS = 1_000
LIFETIME_MS = 2_000
# Times before this are all equally past.
FLOOR_MS = -LIFETIME_MS - 2 * TICK_MS
MAX_STATES = 10_000


def make_mutants() -> dict[str, grant_steps.GrantSteps]:
    """Return the mutants by the fault that each has."""

    def count_from_reply(
        ask: quotas.Ask, reply: quotas.GrantReply, longest_ms: int
    ) -> quotas.Grant:
        late = dataclasses.replace(ask, sent_ms=0)
        return quotas.make_grant(late, reply, longest_ms)

    return {
        'uses an expired grant': grant_steps.GrantSteps(
            is_valid=lambda grant, at: True
        ),
        'counts the lifetime from the reply': grant_steps.GrantSteps(
            make_grant=count_from_reply
        ),
    }


def make_checks() -> list[check.Check]:
    """Return the checks of the model and of its mutants."""

    def make(
        name: str, steps: grant_steps.GrantSteps, violated: str
    ) -> check.Check:
        return check.Check(
            name, lambda: make_protocol(name, steps), MAX_STATES, violated
        )

    result = [make('quota grant', grant_steps.GrantSteps(), '')]
    for name, steps in make_mutants().items():
        result.append(make(f'quota grant, mutant {name}', steps, IN_TIME))
    return result


def make_protocol(
    name: str, steps: grant_steps.GrantSteps
) -> minicheck.Protocol:
    """Return the protocol for the checker."""

    def transitions(fields: tuple) -> list[tuple[str, tuple]]:
        found = find_transitions(fields[0], steps)
        return [(label, (after,)) for label, after in found]

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=('world',),
        initial=(grant_world.GrantWorld(),),
        transitions=transitions,
        invariants={IN_TIME: lambda view: not view['world'].used_late},
    )


def find_transitions(
    world: grant_world.GrantWorld, steps: grant_steps.GrantSteps
) -> Iterator[tuple[str, grant_world.GrantWorld]]:
    """Yield every transition."""
    yield 'time passes', pass_time(world)
    if world.granted_ms is None:
        yield 'holder grants', dataclasses.replace(world, granted_ms=0)
        return
    if world.grant is None:
        ask = quotas.Ask(0, 'holder', 'customer', 1, world.sent_ms)
        reply = quotas.GrantReply(1, LIFETIME_MS)
        grant = steps.make_grant(ask, reply, LIFETIME_MS)
        yield 'reply arrives', dataclasses.replace(world, grant=grant)
        return
    if steps.is_valid(world.grant, 0):
        late = -world.granted_ms >= LIFETIME_MS
        yield 'token is used', dataclasses.replace(world, used_late=late)


def pass_time(world: grant_world.GrantWorld) -> grant_world.GrantWorld:
    """Move all times one tick into the past."""
    granted_ms = world.granted_ms
    if granted_ms is not None:
        granted_ms = max(granted_ms - TICK_MS, FLOOR_MS)
    grant = world.grant
    if grant is not None:
        expires_ms = max(grant.expires_ms - TICK_MS, FLOOR_MS)
        grant = quotas.Grant(grant.tokens, expires_ms)
    sent_ms = max(world.sent_ms - TICK_MS, FLOOR_MS)
    return dataclasses.replace(
        world, sent_ms=sent_ms, granted_ms=granted_ms, grant=grant
    )
