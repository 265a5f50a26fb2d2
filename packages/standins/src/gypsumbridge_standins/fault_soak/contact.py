"""Which nodes were undisturbed, and when."""

from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import soak_state
from gypsumbridge_standins.fault_soak import span


def in_touch(
    state: soak_state.SoakState, node: str, start_ms: int, end_ms: int
) -> bool:
    """Say whether a node and the store ran undisturbed.

    The span that counts begins `CONTACT_MS` before `start_ms`. Planned
    work counts as a disturbance.
    """
    found = [
        *state.unplanned.get(node, ()),
        *state.planned.get(node, ()),
        *state.unplanned.get('store', ()),
    ]
    return not overlap(found, start_ms - deployment.CONTACT_MS, end_ms)


def unharmed(
    state: soak_state.SoakState, node: str, start_ms: int, end_ms: int
) -> bool:
    """Say whether only planned work touched a node in a span."""
    found = [
        *state.unplanned.get(node, ()),
        *state.unplanned.get('searchers', ()),
    ]
    return not overlap(found, start_ms - deployment.CONTACT_MS, end_ms)


def overlap(found: list[span.Span], start_ms: int, end_ms: int) -> bool:
    """Say whether one of the spans overlaps another one."""
    return any(
        span.start_ms <= end_ms and span.end_ms >= start_ms for span in found
    )
