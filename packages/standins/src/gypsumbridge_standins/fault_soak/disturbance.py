"""Records spans of faults and of planned work."""

from collections.abc import Callable

from gypsumbridge_standins.fault_soak import soak_state
from gypsumbridge_standins.fault_soak import span

# The end of a span that has not ended.
NEVER_MS = 1 << 62


def begin_span(
    state: soak_state.SoakState,
    spans_by_key: dict[str, list[span.Span]],
    key: str,
) -> Callable[[], None]:
    """Begin a span now and return a function that ends it."""
    spans = spans_by_key.setdefault(key, [])
    opened = span.Span(state.clock.now_ms(), NEVER_MS)
    spans.append(opened)

    def end() -> None:
        spans.remove(opened)
        spans.append(span.Span(opened.start_ms, state.clock.now_ms()))

    return end


def log_event(state: soak_state.SoakState, text: str) -> None:
    """Add a line with its time to the run's event log."""
    state.events.append(f'{state.clock.now_ms()} {text}')
