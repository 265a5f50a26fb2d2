"""Slot time by rank, as bars of text."""

from gypsumbridge_standins.policy_bench import report

WIDTH = 50
MARKS = {'border': '#', 'inspection': '=', 'archive': '-'}


def make_plot(results: report.Results) -> str:
    """Return a bar for each case, deployment and system of the first seed.

    The whole width is the slot time of the endpoints that are up in the
    steady window. Marks show what went into answers by rank, and `x` what
    was spent on calls that no caller got.
    """
    lines = ['`#` border, `=` inspection, `-` archive, `x` lost work', '']
    lines.append('```')
    for (case, deployment, policy, seed), run in sorted(results.items()):
        if seed != 1:
            continue
        bar = ''.join(
            mark * round(run.served[rank] * WIDTH)
            for rank, mark in MARKS.items()
        )
        lost = round(run.worked * (1 - run.useful) * WIDTH)
        bar = (bar + 'x' * lost)[:WIDTH]
        lines.append(f'{case:13}{deployment:7}{policy:14}|{bar:{WIDTH}}|')
    lines.append('```')
    return '\n'.join(lines) + '\n'
