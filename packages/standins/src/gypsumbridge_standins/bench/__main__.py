"""Runs the benchmarks with processes and prints their tables."""

import json
import pathlib
import sys

import defopt

from gypsumbridge_standins.bench import abuse_memory
from gypsumbridge_standins.bench import gather_cost
from gypsumbridge_standins.bench import parser_cost
from gypsumbridge_standins.bench import tier_cost


def main(
    *,
    out: pathlib.Path | None = None,
    baseline: pathlib.Path | None = None,
    memory_only: bool = False,
) -> None:
    """Run the benchmarks and print their results.

    :param out: Folder for machine-readable results.
    :param baseline: Checkout whose gateway is measured beside this one's.
    :param memory_only: Measure the memory under abuse only.
    """
    abuse = abuse_memory.measure(baseline)
    print(
        f'Peak memory of a gateway under abuse, MB of'
        f' {abuse_memory.LIMIT_MB}, by {abuse_memory.PEERS} peers:'
    )
    for row in abuse:
        print(f'  {json.dumps(row)}')
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        (out / 'abuse_memory.json').write_text(json.dumps(abuse, indent=1))
    if memory_only:
        return
    parsers = parser_cost.measure()
    print('Processor time of reading a request at the ingress, us:')
    for row in parsers:
        print(f'  {json.dumps(row)}')
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
        (out / 'parser_cost.json').write_text(json.dumps(parsers, indent=1))
        (out / 'tier_cost.json').write_text(json.dumps(rows, indent=1))
        (out / 'gather_cost.json').write_text(json.dumps(gathers, indent=1))


if __name__ == '__main__':
    sys.exit(defopt.run(main))
