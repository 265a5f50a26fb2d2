"""Runs the benchmarks with processes and prints their tables."""

import json
import pathlib
import sys

import defopt

from gypsumbridge_standins.bench import gather_cost
from gypsumbridge_standins.bench import tier_cost


def main(*, out: pathlib.Path | None = None) -> None:
    """Run the benchmarks and print their results.

    :param out: Folder for machine-readable results.
    """
    rows = tier_cost.measure()
    print('Cost of the tier, processor time of the nodes a shard request:')
    for row in rows:
        print(
            f'  {row["shards"]} shards: bare {row["bare_us_per_shard"]:.0f}'
            f' us, tier {row["tier_us_per_shard"]:.0f} us, ratio'
            f' {row["ratio"]:.2f}; median {row["bare_p50_ms"]:.1f} ms a bare'
            f' request, {row["tier_p50_ms"]:.1f} ms a query; idle'
            f' {row["idle_share"]:.0%}'
        )
    gathers = gather_cost.measure()
    print('Processor time of a gateway for each gathered request:')
    for row in gathers:
        print(
            f'  {row["shards"]} shards: {row["gateway_ms"]:.1f} ms,'
            f' {row["gateway_us_per_shard"]:.0f} us a shard'
        )
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        (out / 'tier_cost.json').write_text(json.dumps(rows, indent=1))
        (out / 'gather_cost.json').write_text(json.dumps(gathers, indent=1))


if __name__ == '__main__':
    sys.exit(defopt.run(main))
