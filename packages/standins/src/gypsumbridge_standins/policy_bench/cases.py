"""The cases and their load before the fault."""

from gypsumbridge_standins.policy_bench import case
from gypsumbridge_standins.policy_bench import faults

NORMAL_LOAD = {'border': 0.20, 'inspection': 0.15, 'archive': 0.10}
# Several times the fleet's capacity, as in design section 1.1.
FLOOD_LOAD = 4.0


def make_cases() -> tuple[case.Case, ...]:
    """Return every case, the quiet one first."""
    return (
        _make('quiet', {}, faults.no_fault),
        _make('straggler', {}, faults.slow_replicas),
        _make('replica-lost', {}, faults.lose_replicas),
        _make('flood-low', {'archive': FLOOD_LOAD}, faults.no_fault),
        _make('flood-urgent', {'border': FLOOD_LOAD}, faults.no_fault),
        _make(
            'flood-both',
            {'border': FLOOD_LOAD, 'archive': FLOOD_LOAD},
            faults.no_fault,
        ),
        _make('domain-lost', {'archive': FLOOD_LOAD}, faults.lose_domain),
        _make('owner-killed', {}, faults.lose_node),
    )


def _make(
    name: str, changed: dict[str, float], fault: case.Fault
) -> case.Case:
    load = NORMAL_LOAD | changed
    return case.Case(
        name, tuple(load.items()), fault, tuple(NORMAL_LOAD.items())
    )
