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
    for figure in metrics:
        for deployment in deployments:
            if (figure.case, deployment, systems.PRODUCT, 1) not in results:
                continue
            lines.append(_line(results, figure, deployment, seeds))
    return '\n'.join(lines) + '\n'


def _line(
    results: Results, figure: metric.Metric, deployment: str, seeds: int
) -> str:
    product = _values(results, figure, deployment, systems.PRODUCT, seeds)
    aim = '–'
    result = '–'
    if figure.limit is not None:
        aim = f'{"≤" if figure.at_most else "≥"} {figure.limit:g}'
        result = 'hit' if all(map(figure.is_met, product)) else 'miss'
    row = [figure.case, deployment, figure.name, aim, _spread(product)]
    for name in systems.policy_names()[1:]:
        values = _values(results, figure, deployment, name, seeds)
        pairs = zip(product, values, strict=True)
        ratios = [ours / theirs for ours, theirs in pairs if theirs]
        row += [_spread(values), _spread(ratios) if ratios else '–']
    return _row([*row, result])


def _values(
    results: Results,
    figure: metric.Metric,
    deployment: str,
    policy: str,
    seeds: int,
) -> list[float]:
    return [
        figure.measure(
            results[(figure.case, deployment, policy, seed)],
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
