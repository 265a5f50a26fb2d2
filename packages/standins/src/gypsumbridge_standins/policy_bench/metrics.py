"""The figures that the bench reports, with their aims."""

from gypsumbridge_standins.policy_bench import measures
from gypsumbridge_standins.policy_bench import metric

# The silence setting of the replay's nodes, design section 5.1.
OWNER_SILENCE_MS = 50.0
M = metric.Metric


def make_metrics() -> tuple[metric.Metric, ...]:
    """Return every figure in the order of the cases."""
    return (
        M('quiet', 'full coverage', measures.full_share, 1.0, False),
        M(
            'quiet',
            'p99 / slowest undisturbed shard',
            measures.slowest_shard_ratio,
            1.5,
        ),
        M('straggler', 'p99 / quiet', measures.p99_ratio('all'), 2.0),
        M('straggler', 'extra attempts', measures.extra('steady'), 0.05),
        M(
            'replica-lost',
            'full coverage once seen',
            measures.full_share_once_seen,
            1.0,
            False,
        ),
        M('replica-lost', 'extra attempts', measures.extra('onset'), 0.05),
        *_flood('flood-low', ('inspection',), 'archive'),
        *_urgent('flood-low', 'all'),
        M('flood-low', 'p99 / quiet', measures.p99_ratio('all'), 1.25),
        M('flood-low', 'slots in use', measures.worked, 0.95, False),
        M('flood-low', 'extra attempts', measures.extra('steady'), 0.01),
        *_flood('flood-urgent', ('inspection', 'archive'), 'border'),
        *_flood('flood-both', ('inspection', 'archive'), 'border'),
        *_flood('domain-lost', ('inspection', 'archive'), 'archive'),
        *_urgent('domain-lost', 'steady'),
        M(
            'domain-lost',
            'connections / limit',
            measures.connection_share,
            1.0,
        ),
        M(
            'owner-killed',
            'added p99, ms',
            measures.added_ms,
            OWNER_SILENCE_MS,
        ),
    )


def _urgent(case: str, window: str) -> tuple[metric.Metric, ...]:
    measure = measures.in_target('border', window)
    return (M(case, 'border in target, full', measure, 0.999, False),)


def _flood(
    case: str, floors: tuple[str, ...], flooded: str
) -> tuple[metric.Metric, ...]:
    return (
        *(
            M(case, f'{rank} / floor', measures.of_floor(rank), 0.99, False)
            for rank in floors
        ),
        M(case, 'false not_run', measures.false_not_run, 0.0),
        M(
            case,
            f'{flooded} refusal / deadline',
            measures.refusal_share(flooded),
            0.1,
        ),
        M(case, 'useful slot time', measures.useful, None, False),
        M(
            case,
            f'{flooded}: other callers answered',
            measures.other_callers(flooded),
            None,
            False,
        ),
    )
