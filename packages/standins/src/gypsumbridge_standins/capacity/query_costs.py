"""Costs of a query by shard count, without HTTP to endpoints."""

import itertools
from typing import Any

from gypsumbridge_decisions import front
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import owner
from gypsumbridge_decisions import resources
from gypsumbridge_standins.capacity import routing_costs
from gypsumbridge_standins.capacity import slope
from gypsumbridge_standins.capacity import timing
from gypsumbridge_standins.replay import fleet
from gypsumbridge_wire import peer

SHARD_COUNTS = (50, 100, 200, 400, 900)
SHARDS_PER_OWNER = 9
NODES = 200
QUERIES = 10
PAYLOAD = b'{"hits":[1,2,3,4,5,6,7,8,9,10],"total":10}'
SERVING = messages.ServingChanged(messages.MissingReason.NONE)


def make_specs(shards: int) -> tuple[resources.Spec, ...]:
    """Return a service with one shard per replica set of two replicas."""
    mapping = {f's{n:04d}': f'set-{n:04d}' for n in range(shards)}
    service = resources.Service(
        name='svc',
        versions=(resources.IndexVersion('v1', mapping),),
        current_version='v1',
        owner_groups=max(shards // SHARDS_PER_OWNER, 1),
    )
    endpoints = [
        resources.Endpoint(
            f'{replica_set}-{letter}',
            'svc',
            replica_set,
            '10.0.0.1',
            80,
            'fd-0',
            slots=1_000,
            connections=3_000,
        )
        for replica_set in mapping.values()
        for letter in 'ab'
    ]
    return (service, resources.Rank('r', 0, 0.5, 1_000), *endpoints)


def make_front(shards: int) -> front.FrontState:
    """Return the state of a front that serves the service."""
    state = front.make_front_state('node-00000', 100)
    members = messages.MembersChanged(routing_costs.make_members(NODES))
    front.handle(state, members, 0)
    front.handle(state, fleet.make_catalog(1, make_specs(shards)), 0)
    front.handle(state, SERVING, 0)
    return state


def select_batches(commands: list[Any]) -> list[messages.ToPeer]:
    """Return the shard batches among a front's commands."""
    return [
        c
        for c in commands
        if isinstance(c, messages.ToPeer)
        and isinstance(c.message, messages.ShardBatch)
    ]


def make_part_reply(to_peer: messages.ToPeer) -> messages.PartBatch:
    """Return the reply of an owner with every part covered."""
    batch = to_peer.message
    parts = tuple(
        messages.Part(
            call.shard,
            batch.version,
            messages.PartOutcome.COVERED,
            messages.MissingReason.NONE,
            PAYLOAD,
            'e',
            1,
        )
        for call in batch.calls
    )
    return messages.PartBatch(
        to_peer.node_id, batch.query_id, batch.attempt, parts, (), 1
    )


def measure() -> list[slope.Slope]:
    """Return time and bytes of front, codec and owners by shard count."""
    front_time = []
    codec_time = []
    sent_bytes = []
    owner_time = []
    for shards in SHARD_COUNTS:
        state = make_front(shards)
        ids = itertools.count()

        def run_queries(front_state=state, query_numbers=ids) -> None:
            for _ in range(QUERIES):
                query = messages.Query(
                    f'q{next(query_numbers)}',
                    'r',
                    'svc',
                    'r',
                    'c',
                    1_000,
                    b'{}',
                )
                commands = front.handle(front_state, query, 0)
                for sent in select_batches(commands):
                    front.handle(front_state, make_part_reply(sent), 0)

        per_query = timing.processor_us(run_queries, 5) / QUERIES
        front_time.append((shards, per_query))
        query = messages.Query('q', 'r', 'svc', 'r', 'c', 1_000, b'{}')
        sent = select_batches(front.handle(state, query, 0))
        replies = [make_part_reply(item) for item in sent]
        all_messages = [item.message for item in sent] + replies
        frames = [peer.encode(message) for message in all_messages]
        sent_bytes.append((shards, sum(len(p) for f in frames for p in f)))
        codec_time.append(
            (
                shards,
                timing.processor_us(
                    lambda m=all_messages, f=frames: (
                        [peer.encode(x) for x in m],
                        [peer.decode(x) for x in f],
                    ),
                    5,
                ),
            )
        )
        owner_time.append((shards, measure_owner(shards, sent)))
    return [
        slope.fit_slope('front a query', 'shards', 'us', front_time),
        slope.fit_slope('codec a query', 'shards', 'us', codec_time),
        slope.fit_slope('peer bytes a query', 'shards', 'bytes', sent_bytes),
        slope.fit_slope('owners a query', 'shards', 'us', owner_time),
    ]


def measure_owner(shards: int, sent: list[messages.ToPeer]) -> float:
    """Return the time of all owners of a query, in microseconds."""
    state = owner.make_owner_state('node-00001')
    owner.handle(state, fleet.make_catalog(1, make_specs(shards)), 0)
    owner.handle(state, SERVING, 0)
    query_numbers = itertools.count()

    def run() -> None:
        number = next(query_numbers)
        for item in sent:
            batch = item.message
            query_id = f'{batch.query_id}-{number}'
            copied = messages.ShardBatch(
                **{**batch.__dict__, 'query_id': query_id}
            )
            commands = owner.handle(state, copied, number)
            for request in commands:
                if isinstance(request, messages.EndpointRequest):
                    owner.handle(state, make_endpoint_reply(request), number)

    return timing.processor_us(run, 10)


def make_endpoint_reply(
    request: messages.EndpointRequest,
) -> messages.EndpointReply:
    """Return the reply of an endpoint that ran a request."""
    return messages.EndpointReply(
        request.call_id,
        request.endpoint,
        messages.EndpointStatus.OK,
        True,
        request.shard,
        request.version,
        PAYLOAD,
        False,
    )
