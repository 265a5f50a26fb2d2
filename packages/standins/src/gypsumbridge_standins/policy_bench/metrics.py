"""The figures that the bench reports, with their aims."""

from gypsumbridge_standins.policy_bench import measures
from gypsumbridge_standins.policy_bench import metric

# The owner silence setting of the replay's nodes, design section 5.1.
OWNER_SILENCE_MS = 50.0
Metric = metric.Metric


def make_metrics() -> tuple[metric.Metric, ...]:
    """Return every figure in the order of the cases."""
    return (
        Metric('quiet', 'full coverage', measures.full_share, 1.0, False),
        Metric(
            'quiet',
            'p99 / slowest undisturbed shard',
            measures.slowest_shard_ratio,
            1.5,
        ),
        Metric('straggler', 'p99 / quiet', measures.p99_ratio('all'), 2.0),
        Metric(
            'straggler',
            'extra attempts',
            measures.extra_attempts('steady'),
            0.05,
        ),
        Metric(
            'replica-lost',
            'full coverage once seen',
            measures.full_share_after_detection,
            1.0,
            False,
        ),
        Metric(
            'replica-lost',
            'extra attempts',
            measures.extra_attempts('onset'),
            0.05,
        ),
        *_flood('flood-low', ('inspection',), 'archive'),
        *_urgent('flood-low', 'all'),
        Metric('flood-low', 'p99 / quiet', measures.p99_ratio('all'), 1.25),
        Metric(
            'flood-low', 'slots in use', measures.slots_in_use, 0.95, False
        ),
        Metric(
            'flood-low',
            'extra attempts',
            measures.extra_attempts('steady'),
            0.01,
        ),
        *_flood('flood-urgent', ('inspection', 'archive'), 'border'),
        *_flood('flood-both', ('inspection', 'archive'), 'border'),
        *_flood('domain-lost', ('inspection', 'archive'), 'archive'),
        *_urgent('domain-lost', 'steady'),
        Metric(
            'domain-lost',
            'connections / limit',
            measures.connection_share,
            1.0,
        ),
        Metric(
            'owner-killed',
            'added p99, ms',
            measures.added_p99_ms,
            OWNER_SILENCE_MS,
        ),
    )


def _urgent(case: str, window: str) -> tuple[metric.Metric, ...]:
    measure = measures.share_in_target('border', window)
    return (Metric(case, 'border in target, full', measure, 0.999, False),)


def _flood(
    case: str, floors: tuple[str, ...], flooded: str
) -> tuple[metric.Metric, ...]:
    return (
        *(
            Metric(
                case,
                f'{rank} / floor',
                measures.share_of_floor(rank),
                0.99,
                False,
            )
            for rank in floors
        ),
        Metric(case, 'false not_run', measures.false_not_run, 0.0),
        Metric(
            case,
            f'{flooded} refusal / deadline',
            measures.refusal_share(flooded),
            0.1,
        ),
        Metric(
            case, 'useful slot time', measures.useful_slot_time, None, False
        ),
        Metric(
            case,
            f'{flooded}: other callers answered',
            measures.other_callers_answered(flooded),
            None,
            False,
        ),
    )
