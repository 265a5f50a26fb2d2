"""Functions that read one figure from a run."""

from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.policy_bench import metric
from gypsumbridge_standins.policy_bench import run_result

Run = run_result.RunResult


def full_share(run: Run, quiet: Run) -> float:
    """Return the share of all queries answered with full coverage."""
    return _full(run, 'all')


def full_share_once_seen(run: Run, quiet: Run) -> float:
    """Return the same for the queries due after the fault was seen."""
    return _full(run, 'steady')


def slowest_shard_ratio(run: Run, quiet: Run) -> float:
    """Return the largest p99 of a service over its undisturbed fan-out's."""
    ratios = []
    for (window, service, rank), found in run.cells.items():
        if window != 'all' or rank != 'border' or service == '*':
            continue
        ratios.append(found.p99_ms / run.reference_ms[service])
    return max(ratios)


def p99_ratio(window: str) -> metric.Measure:
    """Return the most urgent rank's p99 over the quiet one."""

    def measure(run: Run, quiet: Run) -> float:
        still = quiet.cells[('all', '*', 'border')].p99_ms
        return run.cells[(window, '*', 'border')].p99_ms / max(still, 1)

    return measure


def added_ms(run: Run, quiet: Run) -> float:
    """Return how much p99 grows until the membership reports the loss."""
    still = quiet.cells[('all', '*', 'border')].p99_ms
    return run.cells[('onset', '*', 'border')].p99_ms - still


def extra(window: str) -> metric.Measure:
    """Return the attempts above the needed ones of a window."""
    return lambda run, quiet: run.extra.get(window, 0.0)


def in_target(rank: str, window: str) -> metric.Measure:
    """Return the share within the target with full coverage."""

    def measure(run: Run, quiet: Run) -> float:
        found = run.cells[(window, '*', rank)]
        return found.in_target / max(found.offered - found.lost, 1)

    return measure


def of_floor(rank: str) -> metric.Measure:
    """Return the slot time received over the floor, or over the demand.

    A rank that asks for less than its floor receives its floor when all
    its queries are answered.
    """
    floor = next(r.floor for r in build.RANKS if r.name == rank)

    def measure(run: Run, quiet: Run) -> float:
        found = run.cells[('steady', '*', rank)]
        answered = found.answered / max(found.offered - found.lost, 1)
        return max(run.served[rank] / floor, answered)

    return measure


def other_callers(rank: str) -> metric.Measure:
    """Return the answered share of the flooded rank's other callers."""

    def measure(run: Run, quiet: Run) -> float:
        found = run.cells[('steady', '*', rank)]
        return found.others_answered / max(found.others_offered, 1)

    return measure


def refusal_share(rank: str) -> metric.Measure:
    """Return the p99 time of a refusal as a share of the deadline."""
    return lambda run, quiet: run.cells[('all', '*', rank)].refusal_share


def worked(run: Run, quiet: Run) -> float:
    """Return the used share of the fleet's slots."""
    return run.worked


def useful(run: Run, quiet: Run) -> float:
    """Return the share of the slot time that went into answers."""
    return run.useful


def false_not_run(run: Run, quiet: Run) -> float:
    """Return the not-run refusals of queries that endpoints received."""
    return float(run.false_not_run)


def connection_share(run: Run, quiet: Run) -> float:
    """Return the largest used share of a connection limit."""
    return run.connection_share


def _full(run: Run, window: str) -> float:
    found = [
        c for (w, s, _), c in run.cells.items() if w == window and s == '*'
    ]
    offered = sum(c.offered - c.lost for c in found)
    return sum(c.full for c in found) / max(offered, 1)
