"""Measures all slopes and writes them as JSON and as a table."""

import json
import pathlib
import sys

import defopt

from gypsumbridge_standins.capacity import catalog_costs
from gypsumbridge_standins.capacity import log_costs
from gypsumbridge_standins.capacity import query_costs
from gypsumbridge_standins.capacity import routing_costs
from gypsumbridge_standins.capacity import slope
from gypsumbridge_standins.capacity import socket_costs
from gypsumbridge_standins.capacity import target

MEASUREMENTS = (
    catalog_costs.measure,
    routing_costs.measure,
    query_costs.measure,
    log_costs.measure,
    socket_costs.measure,
)


def main(out: pathlib.Path) -> None:
    """Measure the slopes on which docs/CAPACITY.md is based.

    :param out: Folder for slopes.json and slopes.md.
    """
    out.mkdir(parents=True, exist_ok=True)
    slopes = [item for measure in MEASUREMENTS for item in measure()]
    data = [vars(item) for item in slopes]
    (out / 'slopes.json').write_text(json.dumps(data, indent=1) + '\n')
    table = make_table(slopes) + '\n' + make_projection(slopes)
    (out / 'slopes.md').write_text(table)
    print(table)


def make_table(slopes: list[slope.Slope]) -> str:
    """Return the slopes as a Markdown table."""
    lines = [
        '| slope | points | intercept | per unit |',
        '|---|---|---|---|',
    ]
    for item in slopes:
        points = ', '.join(f'{x:g}: {y:,.0f}' for x, y in item.points)
        lines.append(
            f'| {item.name} ({item.cost_unit} by {item.size_unit}) |'
            f' {points} | {item.intercept:,.1f} | {item.per_unit:,.4f} |'
        )
    return '\n'.join(lines) + '\n'


def make_projection(slopes: list[slope.Slope]) -> str:
    """Return the costs of a node at the target size as a Markdown table."""
    lines = ['| at the target, a node | value | unit |', '|---|---|---|']
    for name, unit, value in target.project(slopes):
        lines.append(f'| {name} | {value:,.2f} | {unit} |')
    return '\n'.join(lines) + '\n'


if __name__ == '__main__':
    sys.exit(defopt.run(main))
