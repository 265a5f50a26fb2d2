"""Checks whether a gateway was free of disturbances in a span."""

from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import soak_state
from gypsumbridge_standins.fault_soak import span


def is_in_contact(
    state: soak_state.SoakState, node: str, start_ms: int, end_ms: int
) -> bool:
    """Return whether a node and the store ran undisturbed.

    The span begins `CONTACT_MS` before `start_ms`. Planned work counts as a
    disturbance.
    """
    spans = [
        *state.unplanned.get(node, ()),
        *state.planned.get(node, ()),
        *state.unplanned.get('store', ()),
    ]
    return not overlaps_any(spans, start_ms - deployment.CONTACT_MS, end_ms)


def is_fault_free(
    state: soak_state.SoakState, node: str, start_ms: int, end_ms: int
) -> bool:
    """Return whether planned work alone disturbed a node in a span.

    The span begins `CONTACT_MS` before `start_ms`.
    """
    spans = [
        *state.unplanned.get(node, ()),
        *state.unplanned.get('searchers', ()),
    ]
    return not overlaps_any(spans, start_ms - deployment.CONTACT_MS, end_ms)


def overlaps_any(spans: list[span.Span], start_ms: int, end_ms: int) -> bool:
    """Return whether any of the spans overlaps the given one."""
    return any(
        span.start_ms <= end_ms and span.end_ms >= start_ms for span in spans
    )
