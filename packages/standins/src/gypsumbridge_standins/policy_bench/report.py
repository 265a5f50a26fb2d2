"""The table of results."""

from collections.abc import Iterable

from gypsumbridge_standins.policy_bench import metric
from gypsumbridge_standins.policy_bench import run_result
from gypsumbridge_standins.policy_bench import systems

Results = dict[tuple[str, str, str, int], run_result.RunResult]


def index(results: Iterable[run_result.RunResult]) -> Results:
    """Return the results by case, deployment, system and seed."""
    return {(r.case, r.deployment, r.policy, r.seed): r for r in results}


def make_table(
    results: Results, metrics: Iterable[metric.Metric], seeds: int
) -> str:
    """Return a Markdown table; an aim is hit if it is met in every seed."""
    baselines = systems.policy_names()[1:]
    head = ['case', 'deployment', 'figure', 'aim', 'product']
    for name in baselines:
        head += [name, 'ratio']
    head.append('result')
    lines = [_row(head), _row(['---'] * len(head))]
    deployments = sorted({key[1] for key in results}, reverse=True)
    for shown in metrics:
        for deployment in deployments:
            if (shown.case, deployment, systems.PRODUCT, 1) not in results:
                continue
            lines.append(_line(results, shown, deployment, seeds))
    return '\n'.join(lines) + '\n'


def _line(
    results: Results, shown: metric.Metric, deployment: str, seeds: int
) -> str:
    product = _values(results, shown, deployment, systems.PRODUCT, seeds)
    aim = '–'
    result = '–'
    if shown.limit is not None:
        aim = f'{"≤" if shown.at_most else "≥"} {shown.limit:g}'
        result = 'hit' if all(map(shown.is_met, product)) else 'miss'
    row = [shown.case, deployment, shown.name, aim, _spread(product)]
    for name in systems.policy_names()[1:]:
        values = _values(results, shown, deployment, name, seeds)
        pairs = zip(product, values, strict=True)
        ratios = [ours / theirs for ours, theirs in pairs if theirs]
        row += [_spread(values), _spread(ratios) if ratios else '–']
    return _row([*row, result])


def _values(
    results: Results,
    shown: metric.Metric,
    deployment: str,
    policy: str,
    seeds: int,
) -> list[float]:
    return [
        shown.measure(
            results[(shown.case, deployment, policy, seed)],
            results[('quiet', deployment, policy, seed)],
        )
        for seed in range(1, seeds + 1)
    ]


def _spread(values: list[float]) -> str:
    """Return the mean and, in brackets, the minimum and maximum."""
    mean = sum(values) / len(values)
    return f'{mean:.3g} [{min(values):.3g}, {max(values):.3g}]'


def _row(fields: Iterable[str]) -> str:
    return '| ' + ' | '.join(fields) + ' |'
