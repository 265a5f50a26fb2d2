"""Transitions of the model of a partition's holder.

Any step may be absent, which models a cut, a pause, a suspension or an outage
of the store.
"""

from collections.abc import Iterator
import dataclasses

from gypsumbridge_decisions import quotas
from gypsumbridge_standins.models import holder_node
from gypsumbridge_standins.models import holder_steps
from gypsumbridge_standins.models import holder_world

Transitions = Iterator[tuple[str, holder_world.HolderWorld]]
# The process that granted last has ended.
ENDED = -1
TICK_MS = 1_000
# The shortest term in which a proof can be older than the end of a wait and
# newer than the end of the former holder's term.
TTL_MS = 3_000
# The store comes back from a copy that is younger than a holder's term.
MAX_COPY_AGE_MS = TTL_MS
# Proofs from this time and before have expired.
FLOOR_MS = -TTL_MS


def all_transitions(
    world: holder_world.HolderWorld, steps: holder_steps.HolderSteps
) -> Transitions:
    """Yield every transition."""
    yield 'time passes', pass_time(world)
    yield from store_transitions(world)
    for number in range(len(world.nodes)):
        for label, after in node_transitions(world, number, steps):
            yield f'{node_id(number)} {label}', after


def node_id(number: int) -> str:
    """Return the id of a node."""
    return 'ab'[number]


def pass_time(world: holder_world.HolderWorld) -> holder_world.HolderWorld:
    """Move all times one tick into the past."""

    def shift(value_ms: int | None) -> int | None:
        return None if value_ms is None else max(value_ms - TICK_MS, FLOOR_MS)

    nodes = []
    for node in world.nodes:
        holding = dataclasses.replace(
            node.holding,
            proven_ms=shift(node.holding.proven_ms),
            wait_until_ms=shift(node.holding.wait_until_ms),
        )
        read = node.read
        if read is not None:
            read = (read[0], max(read[1] - TICK_MS, FLOOR_MS))
        nodes.append(dataclasses.replace(node, holding=holding, read=read))
    age_ms = 0
    if world.older is not None:
        age_ms = min(world.older_age_ms + TICK_MS, MAX_COPY_AGE_MS + TICK_MS)
    return dataclasses.replace(world, nodes=tuple(nodes), older_age_ms=age_ms)


def store_transitions(world: holder_world.HolderWorld) -> Transitions:
    """Yield that the store is copied, or comes back from the copy."""
    if not world.left.restores:
        return
    if world.older is None:
        yield 'store is copied', dataclasses.replace(world, older=world.entry)
        return
    if world.older_age_ms > MAX_COPY_AGE_MS:
        return
    restored = dataclasses.replace(world.older, era=world.entry.era + 1)
    after = dataclasses.replace(
        world, entry=restored, older=None, older_age_ms=0
    )
    yield 'store is restored', after.use('restores')


def node_transitions(
    world: holder_world.HolderWorld,
    number: int,
    steps: holder_steps.HolderSteps,
) -> Transitions:
    """Yield every transition of one node and of its calls."""
    node = world.nodes[number]
    yield 'reads', apply_read(world, number, world.entry, 0, steps)
    if node.read is not None:
        arrived = world.replace_node(
            number, dataclasses.replace(node, read=None)
        )
        yield (
            'gets a late answer',
            apply_read(arrived, number, *node.read, steps),
        )
    elif world.left.late:
        sent = dataclasses.replace(node, read=(world.entry, 0))
        yield 'reads late', world.replace_node(number, sent).use('late')
    if node.write is not None:
        written = dataclasses.replace(node, write=None)
        yield (
            'has a late write applied',
            apply_write(world.replace_node(number, written), node.write),
        )
    for label, record, fault in choose_writes(world, number, steps):
        after = world.use(fault) if fault else world
        if label == 'writes for the first time':
            holding = dataclasses.replace(node.holding, first_write=True)
            after = after.replace_node(
                number, dataclasses.replace(node, holding=holding)
            )
        yield label, apply_write(after, record)
        if world.left.late and node.write is None:
            late = dataclasses.replace(after.nodes[number], write=record)
            yield (
                f'{label}, late',
                after.replace_node(number, late).use('late'),
            )
    if world.left.kills:
        # Calls on their way to the store still arrive.
        restarted = holder_node.HolderNode(write=node.write)
        after = world.replace_node(number, restarted).use('kills')
        if world.granted_by == number:
            after = dataclasses.replace(after, granted_by=ENDED)
        yield 'restarts', after


def choose_writes(
    world: holder_world.HolderWorld,
    number: int,
    steps: holder_steps.HolderSteps,
) -> Iterator[tuple[str, quotas.HolderRecord, str]]:
    """Yield the writes that a node may make, and the fault that each uses."""
    holding = world.nodes[number].holding
    record = holding.record
    if record is None:
        return
    entitled = steps.may_grant(holding, TTL_MS, 0)

    def claim(settled: bool) -> quotas.HolderRecord:
        return dataclasses.replace(
            record,
            node_id=node_id(number),
            claim=quotas.next_claim(record.claim, settled),
        )

    if entitled and holding.restoring:
        yield 'writes its entry again', claim(False), ''
        return
    if record.node_id == node_id(number):
        if entitled and not quotas.is_settled(record):
            yield 'ends its wait', claim(True), ''
        return
    if not world.left.takeovers:
        return
    if world.left.first_start and not record.node_id and not record.era:
        yield 'writes for the first time', claim(True), 'takeovers'
        return
    yield 'takes over', claim(False), 'takeovers'


def apply_write(
    world: holder_world.HolderWorld, record: quotas.HolderRecord
) -> holder_world.HolderWorld:
    """Write an entry if the store's one still has the expected revision."""
    if record.revision != world.entry.revision:
        return world
    written = dataclasses.replace(
        record, revision=record.revision + 1, era=world.entry.era
    )
    return dataclasses.replace(world, entry=written)


def apply_read(
    world: holder_world.HolderWorld,
    number: int,
    record: quotas.HolderRecord,
    proven_ms: int,
    steps: holder_steps.HolderSteps,
) -> holder_world.HolderWorld:
    """Give a node an entry and the time at which it was current.

    An answer from before one that the node already has is dropped.
    """
    node = world.nodes[number]
    known = node.holding.record
    if known is not None and (record.era, record.revision) < (
        known.era,
        known.revision,
    ):
        return world
    own_id = node_id(number)
    seen = steps.see_record(node.holding, record, own_id, TTL_MS, 0)
    confirmed = steps.confirm(seen, own_id, proven_ms, 0)
    after = world.replace_node(
        number, dataclasses.replace(node, holding=confirmed)
    )
    if not steps.may_grant(confirmed, TTL_MS, 0):
        return after
    full_late = confirmed.full and world.granted_by not in (None, number)
    return dataclasses.replace(
        after,
        granted_by=number,
        full_late=world.full_late or full_late,
    )
