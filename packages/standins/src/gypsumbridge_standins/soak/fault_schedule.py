"""Faults of a soak run, two at a time."""

from collections.abc import Callable

from gypsumbridge_standins.replay import link_faults
from gypsumbridge_standins.soak import endpoint_faults
from gypsumbridge_standins.soak import node_faults
from gypsumbridge_standins.soak import soak_state

Undo = Callable[[], None]
Fault = Callable[[soak_state.SoakState], Undo]

MAX_FAULTS = 2
MEAN_GAP_MS = 400
MEAN_LENGTH_MS = 1_500
# A drain must outlast the bound on new work; a new version is an event.
LENGTHS_MS = {'endpoint_drain': 6_000, 'new_version': 200}


def lossy_links(state: soak_state.SoakState) -> Undo:
    """Lose, repeat, delay and reorder messages between nodes."""
    state.replay.faults = link_faults.LinkFaults(
        delay_ms=1, jitter_ms=40, loss=0.05, duplication=0.05
    )

    def undo() -> None:
        state.replay.faults = link_faults.LinkFaults()

    return undo


def flood(state: soak_state.SoakState) -> Undo:
    """Send far more than the fleet can take."""
    return lambda: None


FAULTS: dict[str, Fault] = {
    'lossy_links': lossy_links,
    'flood': flood,
    'kill': node_faults.kill,
    'pause': node_faults.pause,
    'cut': node_faults.cut,
    'endpoint_down': endpoint_faults.take_down,
    'endpoint_slow': endpoint_faults.slow_down,
    'endpoint_drain': endpoint_faults.drain,
    'other_version': endpoint_faults.answer_other_version,
    'other_shard': endpoint_faults.answer_other_shard,
    'new_version': endpoint_faults.change_version,
}


def inject_faults(state: soak_state.SoakState) -> None:
    """Start a random fault if fewer than two run, and plan the next."""
    if not state.sending:
        return
    random = state.replay.random
    scheduler = state.replay.scheduler
    gap_ms = 1 + round(random.expovariate(1.0) * MEAN_GAP_MS)
    scheduler.after(gap_ms, lambda: inject_faults(state))
    if sum(state.faults.values()) >= MAX_FAULTS:
        return
    name = random.choice(list(FAULTS))
    if state.faults.get(name):
        return
    state.faults[name] = 1
    undo = FAULTS[name](state)

    def end() -> None:
        undo()
        state.faults[name] = 0

    mean_ms = LENGTHS_MS.get(name, MEAN_LENGTH_MS)
    length_ms = 1 + round(random.expovariate(1.0) * mean_ms)
    scheduler.after(length_ms, end)
