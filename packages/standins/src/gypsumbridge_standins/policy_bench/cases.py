"""The cases, and the load that they start from."""

from gypsumbridge_standins.policy_bench import case
from gypsumbridge_standins.policy_bench import faults

USUAL = {'border': 0.20, 'inspection': 0.15, 'archive': 0.10}
# Several times what the fleet can take, as in design section 1.1.
FLOOD = 4.0


def make_cases() -> tuple[case.Case, ...]:
    """Return every case, the quiet one first."""
    return (
        _make('quiet', {}, faults.no_fault),
        _make('straggler', {}, faults.slow_replicas),
        _make('replica-lost', {}, faults.lose_replicas),
        _make('flood-low', {'archive': FLOOD}, faults.no_fault),
        _make('flood-urgent', {'border': FLOOD}, faults.no_fault),
        _make(
            'flood-both',
            {'border': FLOOD, 'archive': FLOOD},
            faults.no_fault,
        ),
        _make('domain-lost', {'archive': FLOOD}, faults.lose_domain),
        _make('owner-killed', {}, faults.lose_node),
    )


def _make(
    name: str, changed: dict[str, float], fault: case.Fault
) -> case.Case:
    load = USUAL | changed
    return case.Case(name, tuple(load.items()), fault, tuple(USUAL.items()))
