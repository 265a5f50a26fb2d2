"""Results of each rank's queries as a table."""

from gypsumbridge_standins.policy_bench import report


def make_rank_table(results: report.Results) -> str:
    """Return a Markdown table of the first seed's windows and ranks."""
    head = (
        'case, deployment, system, window, rank, offered, answered, full,'
        ' in target, not run, unknown, lost, p50 ms, p99 ms'
    )
    fields = head.split(', ')
    lines = [
        '| ' + ' | '.join(fields) + ' |',
        '| ' + ' | '.join(['---'] * len(fields)) + ' |',
    ]
    for (case, deployment, policy, seed), run in results.items():
        if seed != 1:
            continue
        for (window, service, rank), cell in sorted(run.cells.items()):
            if service != '*' or window not in ('onset', 'steady'):
                continue
            lines.append(
                f'| {case} | {deployment} | {policy} | {window} | {rank} |'
                f' {cell.offered} | {cell.answered} | {cell.full} |'
                f' {cell.in_target} | {cell.not_run} | {cell.unknown} |'
                f' {cell.lost} | {cell.p50_ms:g} | {cell.p99_ms:g} |'
            )
    return '\n'.join(lines) + '\n'
