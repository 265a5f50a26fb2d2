"""Slot time by rank as a text bar chart."""

from gypsumbridge_standins.policy_bench import report

WIDTH_CHARS = 50
MARKS = {'border': '#', 'inspection': '=', 'archive': '-'}


def make_plot(results: report.Results) -> str:
    """Return a bar for each case, deployment and system of the first seed.

    The full width is the slot time of the live endpoints in the steady
    window. Marks show the slot time of answers by rank, and `x` that of
    calls whose results reached no caller.
    """
    lines = ['`#` border, `=` inspection, `-` archive, `x` lost work', '']
    lines.append('```')
    for (case, deployment, policy, seed), run in sorted(results.items()):
        if seed != 1:
            continue
        bar = ''.join(
            mark * round(run.served_share[rank] * WIDTH_CHARS)
            for rank, mark in MARKS.items()
        )
        lost = round(run.used_share * (1 - run.useful_share) * WIDTH_CHARS)
        bar = (bar + 'x' * lost)[:WIDTH_CHARS]
        lines.append(
            f'{case:13}{deployment:7}{policy:14}|{bar:{WIDTH_CHARS}}|'
        )
    lines.append('```')
    return '\n'.join(lines) + '\n'
