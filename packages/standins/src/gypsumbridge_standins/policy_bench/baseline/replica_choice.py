"""Replica choice of the baselines."""

from gypsumbridge_decisions import resources
from gypsumbridge_standins.policy_bench.baseline import client_fleet

REPORT_INTERVAL_MS = 100
REPORT_LAG_MS = 1_000


def choose(
    fleet: client_fleet.ClientFleet,
    key: tuple[str, str],
    tried: list[str],
) -> resources.Endpoint | None:
    """Return a replica that was not tried, or None."""
    untried = [
        e for e in fleet.catalog.replica_sets[key] if e.name not in tried
    ]
    if not untried:
        return None
    first = fleet.random.choice(untried)
    if not fleet.policy.two_choices:
        return first
    second = fleet.random.choice(untried)
    if not fleet.reports:
        return first
    report = fleet.reports[0]
    if report[second.name] < report[first.name]:
        return second
    return first


def report_loads(fleet: client_fleet.ClientFleet) -> None:
    """Record the endpoints' load periodically.

    `choose` uses the oldest record, which is `REPORT_LAG_MS` old.
    """
    replay = fleet.replay
    fleet.reports.append(
        {name: e.outstanding() for name, e in replay.endpoints.items()}
    )
    if len(fleet.reports) > REPORT_LAG_MS // REPORT_INTERVAL_MS + 1:
        fleet.reports.pop(0)
    replay.scheduler.after(REPORT_INTERVAL_MS, lambda: report_loads(fleet))
