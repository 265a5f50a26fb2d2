"""Declarations and messages shared by the tests of owner and front."""

from gypsumbridge_decisions import front
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import owner
from gypsumbridge_decisions import resources
from gypsumbridge_standins.replay import fleet

RANKS = (
    resources.Rank('border', 0, 0.5, 200),
    resources.Rank('archive', 2, 0.1, 2_000),
)
SERVING = messages.ServingChanged(messages.MissingReason.NONE)


def catalog(shards=1, replicas=2, minimum=1.0, current='v1', revision=1):
    """Return a catalog where each shard has a replica set of its name."""
    names = {f's{i}': f's{i}' for i in range(shards)}
    versions = tuple(
        resources.IndexVersion(name, names) for name in ('v1', 'v2')
    )
    specs = [resources.Service('svc', versions, current, minimum), *RANKS]
    for name in names:
        for replica in 'abc'[:replicas]:
            specs.append(
                resources.Endpoint(
                    f'{name}{replica}', 'svc', name, '127.0.0.1', 1, 'fd-a'
                )
            )
    return fleet.make_catalog(revision, tuple(specs))


def warm_owner(**declared):
    """Return an owner whose replicas are warm."""
    state = owner.make_owner_state('node-1')
    owner.handle(state, catalog(**declared), 0)
    owner.handle(state, SERVING, 0)
    owner.find_set(state, ('svc', 's0'))
    for replica in state.sets[('svc', 's0')].replicas.values():
        owner.record_success(replica, 20, 0)
    return state


def batch(name, rank='border', caller='c', remaining_ms=60_000, key=0.0):
    return messages.ShardBatch(
        'front',
        str(name),
        1,
        'svc',
        'v1',
        rank,
        caller,
        remaining_ms,
        key,
        1,
        b'',
        (messages.ShardCall('s0', 's0'),),
    )


def mutation(name, remaining_ms=60_000):
    return messages.MutationCall(
        sender='front',
        mutation_id=name,
        service='svc',
        version='v1',
        shard='s0',
        replica_set='s0',
        rank='border',
        caller='c',
        remaining_ms=remaining_ms,
        idempotency_key=name,
        body=b'',
    )


def reply(request, status=messages.EndpointStatus.OK, executed=True):
    return messages.EndpointReply(
        request.call_id,
        request.endpoint,
        status,
        executed,
        request.shard,
        request.version,
        b'{}',
        False,
    )


def of_type(commands, kind):
    return [c for c in commands if isinstance(c, kind)]


def sent(commands, kind):
    """Return the messages of a type that are sent to peers."""
    found = [c.message for c in of_type(commands, messages.ToPeer)]
    return of_type(found, kind)


def parts(commands):
    return [p for b in sent(commands, messages.PartBatch) for p in b.parts]


def members(*names):
    found = [
        messages.Member(name, f'fd-{i % 3}', name, name)
        for i, name in enumerate(names)
    ]
    return messages.MembersChanged(tuple(found))


def serving_front(nodes=('n0', 'n1', 'n2'), **declared):
    state = front.make_front_state('n0', 50)
    for event in (catalog(**declared), members(*nodes), SERVING):
        front.handle(state, event, 0)
    return state


def query(name='q', deadline_ms=1_000, rank='border'):
    return messages.Query(name, name, 'svc', rank, 'c', deadline_ms, b'')


def part(shard, outcome='covered', reason='', version='v1', attempts=1):
    return messages.Part(
        shard,
        version,
        messages.PartOutcome(outcome),
        messages.MissingReason(reason),
        b'{}',
        'e',
        attempts,
    )


def part_batch(sender, attempt, found, name='q', levels=()):
    return messages.PartBatch(sender, name, attempt, tuple(found), levels, 1)
