"""Command line of the policy bench."""

from concurrent import futures
import pathlib
import sys

import defopt

from gypsumbridge_standins.policy_bench import cases
from gypsumbridge_standins.policy_bench import metrics
from gypsumbridge_standins.policy_bench import plot
from gypsumbridge_standins.policy_bench import rank_table
from gypsumbridge_standins.policy_bench import report
from gypsumbridge_standins.policy_bench import run
from gypsumbridge_standins.policy_bench import systems

QUIET = 'quiet'


def main(
    *, out: str = '', seeds: int = 3, case: str = '', jobs: int = 4
) -> None:
    """Run the cases and print their tables.

    :param out: directory for the tables
    :param seeds: number of runs of each system, with seeds from 1 on
    :param case: run only this case and the quiet one, its reference
    :param jobs: processes to run at once
    """
    selected = [c for c in cases.make_cases() if case in ('', c.name)]
    if not selected:
        names = ', '.join(c.name for c in cases.make_cases())
        raise SystemExit(f'unknown case {case!r}; use one of {names}')
    if selected[0].name != QUIET:
        selected.insert(0, cases.make_cases()[0])
    results: report.Results = {}
    with futures.ProcessPoolExecutor(jobs) as pool:
        for seed in range(1, seeds + 1):
            runs = [
                pool.submit(run.run, bench_case, deployment, policy, seed)
                for bench_case in selected
                for deployment in run.DEPLOYMENTS
                for policy in systems.policy_names()
            ]
            results |= report.index(run_future.result() for run_future in runs)
            # Written after each seed, so that a run that is stopped early
            # leaves the tables of all complete seeds.
            _write(results, {c.name for c in selected}, seed, out)


def _write(
    results: report.Results, names: set[str], seeds: int, out: str
) -> None:
    figures = [m for m in metrics.make_metrics() if m.case in names]
    table = report.make_table(results, figures, seeds)
    sys.stdout.write(f'Seeds 1 to {seeds}\n\n{table}\n')
    sys.stdout.flush()
    if not out:
        return
    folder = pathlib.Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / 'policy.md').write_text(table, 'utf-8')
    ranks = rank_table.make_rank_table(results)
    (folder / 'policy_ranks.md').write_text(ranks, 'utf-8')
    (folder / 'policy_plot.md').write_text(plot.make_plot(results), 'utf-8')


if __name__ == '__main__':
    defopt.run(main)
