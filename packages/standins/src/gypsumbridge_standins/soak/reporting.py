"""The digest of a soak, and the error that ends it."""

import zlib

from gypsumbridge_decisions import errors
from gypsumbridge_standins.soak import soak_state


def add_to_digest(state: soak_state.SoakState, line: str) -> None:
    """Add a line with its time to the digest, and to the trace if kept."""
    timed = f'{state.now_ms()} {line}'
    state.digest = zlib.crc32(timed.encode(), state.digest)
    if state.trace is not None:
        state.trace.append(timed)


def violation(
    state: soak_state.SoakState, message: str
) -> errors.InvariantError:
    """Return the error that ends a soak, with the command to repeat it."""
    return errors.InvariantError(
        f'{message} at {state.now_ms()} ms',
        f'repeat with make soak SEED={state.seed}',
    )
