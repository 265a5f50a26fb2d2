"""Runs one system in one case."""

import gc

from gypsumbridge_decisions import resources
from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.deployment import deployment as deployments
from gypsumbridge_standins.policy_bench import case
from gypsumbridge_standins.policy_bench import load
from gypsumbridge_standins.policy_bench import reference
from gypsumbridge_standins.policy_bench import run_result
from gypsumbridge_standins.policy_bench import spent_time
from gypsumbridge_standins.policy_bench import systems
from gypsumbridge_standins.policy_bench import tally as tallies
from gypsumbridge_standins.replay import fleet
from gypsumbridge_standins.replay import replay as replays

NODES = 9
DOMAINS = ('fd-a', 'fd-b', 'fd-c')
SERVICE_MS = 20.0
GC_THRESHOLD = 200_000
STEADY_MS = case.START_MS + case.DETECTION_MS
DEPLOYMENTS = {'Almaty': build.ALMATY_GROUPS, 'Addis': build.ADDIS_GROUPS}


def run(
    selected_case: case.Case, deployment_name: str, policy: str, seed: int
) -> run_result.RunResult:
    """Return the results of a system in a case with one seed."""
    # The queue of timers is large and long-lived; at the default threshold
    # the garbage collector traverses it too often.
    gc.set_threshold(GC_THRESHOLD, 50, 50)
    deployment = build.build(
        DEPLOYMENTS[deployment_name], range(20_000, 21_000), SERVICE_MS
    )
    replay = fleet.make_fleet(deployment, NODES, DOMAINS, seed)
    ranks = {
        s.name: s for s in deployment.specs if isinstance(s, resources.Rank)
    }
    tally = tallies.Tally(ranks)
    submit = systems.start(policy, replay, tally, seed)
    load.start(replay, deployment, selected_case, tally, submit, seed)
    spent = _run_windows(replay, selected_case)
    cells = tally.cells()
    useful_ms = sum(cells[('all', '*', rank)].useful_ms for rank in ranks)
    slots = sum(e.slots for e in replay.endpoints.values() if not e.down)
    steady_ms = slots * (case.END_MS - STEADY_MS)
    return run_result.RunResult(
        case=selected_case.name,
        deployment=deployment_name,
        policy=policy,
        seed=seed,
        cells=cells,
        extra_attempt_share={
            window: tally.attempts[window] / tally.needed[window] - 1
            for window in tally.needed
        },
        used_share=spent.steady_ms / steady_ms,
        useful_share=useful_ms / max(spent.all_ms, 1),
        served_share={
            rank: tally.served_ms.get(('steady', rank), 0) / steady_ms
            for rank in ranks
        },
        false_not_run=len(
            tally.received_by_endpoints & tally.reported_not_run
        ),
        connection_share=_connection_share(replay, deployment),
        reference_ms=_references(deployment),
    )


def _run_windows(
    replay: replays.Replay, selected_case: case.Case
) -> spent_time.Spent:
    """Run a case to its end and return the slot time that it used."""
    scheduler = replay.scheduler
    scheduler.after(case.START_MS, lambda: selected_case.fault(replay))
    scheduler.run_until(case.START_MS)
    before_ms = total_busy_ms(replay)
    scheduler.run_until(STEADY_MS)
    onset_ms = total_busy_ms(replay)
    scheduler.run_until(case.END_MS)
    steady_ms = total_busy_ms(replay) - onset_ms
    scheduler.run_until(case.END_MS + case.DRAIN_MS)
    return spent_time.Spent(steady_ms, total_busy_ms(replay) - before_ms)


def _references(deployment: deployments.Deployment) -> dict[str, float]:
    return {
        s.name: reference.slowest_search_p99_ms(len(s.versions[0].shards))
        for s in deployment.specs
        if isinstance(s, resources.Service)
    }


def total_busy_ms(replay: replays.Replay) -> int:
    """Return the slot time that all endpoints have used so far."""
    return sum(endpoint.busy_ms for endpoint in replay.endpoints.values())


def _connection_share(
    replay: replays.Replay, deployment: deployments.Deployment
) -> float:
    limits = {
        s.name: s.connections
        for s in deployment.specs
        if isinstance(s, resources.Endpoint)
    }
    return max(
        sum(endpoint.peak_by_node.values()) / limits[name]
        for name, endpoint in replay.endpoints.items()
    )
