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


def has_known(
    state: soak_state.SoakState, node: str, since_ms: int, until_ms: int
) -> bool:
    """Return whether a node knows at `until_ms` what was written before.

    It was in contact with the store at `since_ms`, when that was written,
    and its process has not been disturbed since. A drill takes its contact,
    but not what it knows.
    """
    began = {drill.began_ms for drill in state.drills}
    spans = [
        *state.unplanned.get(node, ()),
        *state.planned.get(node, ()),
        *(
            s
            for s in state.unplanned.get('store', ())
            if s.start_ms not in began
        ),
    ]
    return not overlaps_any(spans, since_ms - deployment.CONTACT_MS, until_ms)


def is_bound_to_version(
    state: soak_state.SoakState, node: str, version: int, now_ms: int
) -> bool:
    """Return whether a node has to have the newest version in force.

    A version that the copy of a drill lacks binds those that have known it,
    and all others once the operator has written it again.
    """
    accepted_ms = state.versions[version]
    for drill in state.drills:
        if not drill.copied_ms <= accepted_ms <= drill.began_ms:
            continue
        if now_ms >= drill.rewritten_ms + deployment.CONFIG_APPLY_MS:
            continue
        applied_ms = accepted_ms + deployment.CONFIG_APPLY_MS
        return applied_ms <= drill.began_ms and has_known(
            state, node, accepted_ms, now_ms
        )
    return is_in_contact(state, node, now_ms, now_ms)


def overlaps_any(spans: list[span.Span], start_ms: int, end_ms: int) -> bool:
    """Return whether any of the spans overlaps the given one."""
    return any(
        span.start_ms <= end_ms and span.end_ms >= start_ms for span in spans
    )
