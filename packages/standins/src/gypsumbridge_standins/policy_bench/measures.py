"""Functions that compute one figure of a run."""

from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.policy_bench import metric
from gypsumbridge_standins.policy_bench import run_result

Run = run_result.RunResult


def full_share(run: Run, quiet: Run) -> float:
    """Return the share of all queries answered with full coverage."""
    return _full(run, 'all')


def full_share_after_detection(run: Run, quiet: Run) -> float:
    """Return the same share of the queries due after fault detection."""
    return _full(run, 'steady')


def slowest_shard_ratio(run: Run, quiet: Run) -> float:
    """Return the largest ratio of a service's p99 to the reference p99."""
    ratios = []
    for (window, service, rank), cell in run.cells.items():
        if window != 'all' or rank != 'border' or service == '*':
            continue
        ratios.append(cell.p99_ms / run.reference_ms[service])
    return max(ratios)


def p99_ratio(window: str) -> metric.Measure:
    """Return the ratio of the most urgent rank's p99 to the quiet run's."""

    def measure(run: Run, quiet: Run) -> float:
        quiet_p99_ms = quiet.cells[('all', '*', 'border')].p99_ms
        return run.cells[(window, '*', 'border')].p99_ms / max(quiet_p99_ms, 1)

    return measure


def added_p99_ms(run: Run, quiet: Run) -> float:
    """Return the increase of p99 until the membership reports the loss."""
    quiet_p99_ms = quiet.cells[('all', '*', 'border')].p99_ms
    return run.cells[('onset', '*', 'border')].p99_ms - quiet_p99_ms


def extra_attempts(window: str) -> metric.Measure:
    """Return the attempts beyond the needed ones, as a share of those."""
    return lambda run, quiet: run.extra_attempt_share.get(window, 0.0)


def share_in_target(rank: str, window: str) -> metric.Measure:
    """Return the share answered in full within the target latency."""

    def measure(run: Run, quiet: Run) -> float:
        cell = run.cells[(window, '*', rank)]
        return cell.in_target / max(cell.offered - cell.lost, 1)

    return measure


def share_of_floor(rank: str) -> metric.Measure:
    """Return the ratio of the slot time received to the rank's floor.

    A rank whose demand is below its floor has a ratio of 1 if all its
    queries are answered.
    """
    floor = next(r.floor for r in build.RANKS if r.name == rank)

    def measure(run: Run, quiet: Run) -> float:
        cell = run.cells[('steady', '*', rank)]
        answered_share = cell.answered / max(cell.offered - cell.lost, 1)
        return max(run.served_share[rank] / floor, answered_share)

    return measure


def other_callers_answered(rank: str) -> metric.Measure:
    """Return the share answered of the flooded rank's other callers."""

    def measure(run: Run, quiet: Run) -> float:
        cell = run.cells[('steady', '*', rank)]
        return cell.others_answered / max(cell.others_offered, 1)

    return measure


def refusal_share(rank: str) -> metric.Measure:
    """Return the p99 time of a refusal as a share of the deadline."""
    return lambda run, quiet: run.cells[('all', '*', rank)].refusal_share


def slots_in_use(run: Run, quiet: Run) -> float:
    """Return the share of the fleet's slots in use."""
    return run.used_share


def useful_slot_time(run: Run, quiet: Run) -> float:
    """Return the share of the slot time spent on parts of answers."""
    return run.useful_share


def false_not_run(run: Run, quiet: Run) -> float:
    """Return the number of not_run refusals of queries that were sent."""
    return float(run.false_not_run)


def connection_share(run: Run, quiet: Run) -> float:
    """Return the largest share of a connection limit in use."""
    return run.connection_share


def _full(run: Run, window: str) -> float:
    cells = [
        c for (w, s, _), c in run.cells.items() if w == window and s == '*'
    ]
    offered = sum(c.offered - c.lost for c in cells)
    return sum(c.full for c in cells) / max(offered, 1)
