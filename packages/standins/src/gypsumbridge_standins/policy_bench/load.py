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
# A caller waits for twice what it expects.
DEADLINE_PER_TARGET = 2
CALLERS = 8
# The callers that send what a flood adds to the usual load.
FLOODING_CALLERS = 2


def start(
    replay: replays.Replay,
    deployment: deployments.Deployment,
    chosen: case.Case,
    tally: tallies.Tally,
    submit: Submit,
    seed: int,
) -> None:
    """Schedule the arrivals of every service and rank.

    Arrivals are a Poisson process and wait for nothing; a query goes to a
    random live node, as the platform's load balancer sends it.
    """
    choice = random.Random(f'load {seed}')

    def arrive(issued: issued_query.IssuedQuery, pick: float) -> None:
        live = [n for n, node in replay.nodes.items() if node.alive]
        tally.issue(issued)
        submit(live[int(pick * len(live))], issued.query)

    for stream in make_streams(deployment, chosen):
        for issued in issue(stream, choice):
            replay.scheduler.after(
                issued.due_ms,
                functools.partial(arrive, issued, choice.random()),
            )


def make_streams(
    deployment: deployments.Deployment, chosen: case.Case
) -> list[streams.Stream]:
    """Return the usual stream of each service and rank, and the floods."""
    found = []
    ranks = [s for s in deployment.specs if isinstance(s, resources.Rank)]
    for spec in deployment.specs:
        if not isinstance(spec, resources.Service):
            continue
        full = capacity_qps(deployment, spec)
        for rank in ranks:
            usual = dict(chosen.before)[rank.name] * full
            added = dict(chosen.load)[rank.name] * full - usual
            found.append(streams.Stream(spec.name, rank, usual, 0))
            if added > 0:
                found.append(
                    streams.Stream(spec.name, rank, added, case.START_MS)
                )
    return found


def capacity_qps(
    deployment: deployments.Deployment, service: resources.Service
) -> float:
    """Return the queries per second that take all slots of a service."""
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


def issue(
    stream: streams.Stream, choice: random.Random
) -> Iterator[issued_query.IssuedQuery]:
    """Draw the queries of a Poisson stream; one that starts late floods."""
    flooding = stream.start_ms > 0
    callers = FLOODING_CALLERS if flooding else CALLERS
    due = float(stream.start_ms)
    rank = stream.rank
    for number in itertools.count():
        due += choice.expovariate(stream.qps) * 1_000
        if due >= case.END_MS:
            return
        name = f'{stream.service}/{rank.name}/{stream.start_ms}/{number}'
        caller = f'caller-{choice.randrange(callers)}'
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
        due_ms = int(due)
        yield issued_query.IssuedQuery(
            query, due_ms, case.window(due_ms), flooding
        )
