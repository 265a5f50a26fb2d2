"""Open-loop load on a fleet."""

from collections.abc import Callable
from collections.abc import Iterator
import functools
import itertools
import random

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_standins.deployment import deployment as deployments
from gypsumbridge_standins.policy_bench import case
from gypsumbridge_standins.policy_bench import issued_query
from gypsumbridge_standins.policy_bench import stream as streams
from gypsumbridge_standins.policy_bench import tally as tallies
from gypsumbridge_standins.replay import replay as replays

Submit = Callable[[str, messages.Query], None]
# A query's deadline is this multiple of its rank's target latency.
DEADLINE_PER_TARGET = 2
CALLERS = 8
# Number of callers that send the queries which a flood adds.
FLOODING_CALLERS = 2


def start(
    replay: replays.Replay,
    deployment: deployments.Deployment,
    selected_case: case.Case,
    tally: tallies.Tally,
    submit: Submit,
    seed: int,
) -> None:
    """Schedule the arrivals of every service and rank.

    Arrivals are an open-loop Poisson process; each query goes to a random
    live node, as from the platform's load balancer.
    """
    rng = random.Random(f'load {seed}')

    def arrive(issued: issued_query.IssuedQuery, pick: float) -> None:
        live = [n for n, node in replay.nodes.items() if node.alive]
        tally.record_issued(issued)
        submit(live[int(pick * len(live))], issued.query)

    for stream in make_streams(deployment, selected_case):
        for issued in draw_queries(stream, rng):
            replay.scheduler.after(
                issued.due_ms,
                functools.partial(arrive, issued, rng.random()),
            )


def make_streams(
    deployment: deployments.Deployment, selected_case: case.Case
) -> list[streams.Stream]:
    """Return the normal stream of each service and rank, and the floods."""
    result = []
    ranks = [s for s in deployment.specs if isinstance(s, resources.Rank)]
    for spec in deployment.specs:
        if not isinstance(spec, resources.Service):
            continue
        full_qps = capacity_qps(deployment, spec)
        for rank in ranks:
            normal_qps = dict(selected_case.load_before)[rank.name] * full_qps
            added_qps = (
                dict(selected_case.load)[rank.name] * full_qps - normal_qps
            )
            result.append(streams.Stream(spec.name, rank, normal_qps, 0))
            if added_qps > 0:
                result.append(
                    streams.Stream(spec.name, rank, added_qps, case.START_MS)
                )
    return result


def capacity_qps(
    deployment: deployments.Deployment, service: resources.Service
) -> float:
    """Return the queries per second that keep a replica set fully busy.

    The replica set with the lowest capacity determines the result.
    """
    version = service.versions[0]
    calls: dict[str, int] = {}
    for replica_set in version.shards.values():
        calls[replica_set] = calls.get(replica_set, 0) + 1
    speeds = {s.name: s.slots / s.service_ms for s in deployment.searchers}
    rates: dict[str, float] = {}
    for spec in deployment.specs:
        if not isinstance(spec, resources.Endpoint):
            continue
        if spec.service == service.name:
            rate = rates.get(spec.replica_set, 0.0)
            rates[spec.replica_set] = rate + speeds[spec.name]
    return min(1_000 * rates[name] / calls[name] for name in calls)


def draw_queries(
    stream: streams.Stream, rng: random.Random
) -> Iterator[issued_query.IssuedQuery]:
    """Yield the queries of a Poisson stream.

    A stream that starts after 0 is a flood.
    """
    flooding = stream.start_ms > 0
    callers = FLOODING_CALLERS if flooding else CALLERS
    due_at_ms = float(stream.start_ms)
    rank = stream.rank
    for number in itertools.count():
        due_at_ms += rng.expovariate(stream.qps) * 1_000
        if due_at_ms >= case.END_MS:
            return
        name = f'{stream.service}/{rank.name}/{stream.start_ms}/{number}'
        caller = f'caller-{rng.randrange(callers)}'
        if flooding:
            caller = f'flood-{caller}'
        query = messages.Query(
            name,
            name,
            stream.service,
            rank.name,
            caller,
            rank.target_ms * DEADLINE_PER_TARGET,
            b'{}',
        )
        due_ms = int(due_at_ms)
        yield issued_query.IssuedQuery(
            query, due_ms, case.window(due_ms), flooding
        )
