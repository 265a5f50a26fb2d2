"""Injects the faults of a soak, at most two at a time."""

from collections.abc import Callable

from gypsumbridge_standins.replay import link_faults
from gypsumbridge_standins.soak import endpoint_faults
from gypsumbridge_standins.soak import node_faults
from gypsumbridge_standins.soak import operators
from gypsumbridge_standins.soak import reporting
from gypsumbridge_standins.soak import soak_state
from gypsumbridge_standins.soak import store_faults

Undo = Callable[[], None]
Fault = Callable[[soak_state.SoakState], Undo]

MAX_FAULTS = 2
MEAN_INTERVAL_MS = 400
DEFAULT_MEAN_LENGTH_MS = 1_500
# A drain must last longer than the bound on new work; a new version is an
# event without a duration.
MEAN_LENGTHS_MS = {
    'reply_drain': 6_000,
    'host_list_drain': 8_000,
    'operator_drain': 8_000,
    'host_list_lag': 10_000,
    'store_outage': 4_000,
    'store_slow': 4_000,
    'store_lost_replies': 4_000,
    'lost_mutations': 3_000,
    'new_version': 200,
    'two_operators': 200,
    'stop': 1,
}
# Longer than every timeout between nodes.
MIN_LENGTHS_MS = {'long_pause': 12_000}


def lossy_links(state: soak_state.SoakState) -> Undo:
    """Lose, duplicate, delay and reorder messages between nodes."""
    state.replay.faults = link_faults.LinkFaults(
        delay_ms=1, jitter_ms=40, loss=0.05, duplication=0.05
    )

    def undo() -> None:
        state.replay.faults = link_faults.LinkFaults()

    return undo


def flood(state: soak_state.SoakState) -> Undo:
    """Overload the fleet; the traffic checks whether this fault is active."""
    return lambda: None


def new_version(state: soak_state.SoakState) -> Undo:
    """Have an operator repartition a service."""
    operators.repartition(state, 1)
    return lambda: None


def two_operators(state: soak_state.SoakState) -> Undo:
    """Have two operators repartition one service concurrently."""
    operators.repartition(state, 2)
    return lambda: None


FAULTS: dict[str, Fault] = {
    'lossy_links': lossy_links,
    'flood': flood,
    'kill': node_faults.kill,
    'pause': node_faults.pause,
    'long_pause': node_faults.pause,
    'cut': node_faults.cut,
    'domain_cut': node_faults.cut_domain,
    'stop': node_faults.stop,
    'endpoint_down': endpoint_faults.take_down,
    'endpoint_slow': endpoint_faults.slow_down,
    'reply_drain': endpoint_faults.drain_by_reply,
    'host_list_drain': endpoint_faults.drain_by_host_list,
    'operator_drain': endpoint_faults.drain_by_operator,
    'lost_mutations': endpoint_faults.lose_mutations,
    'other_version': endpoint_faults.answer_other_version,
    'other_shard': endpoint_faults.answer_other_shard,
    'store_outage': store_faults.begin_outage,
    'store_slow': store_faults.slow_down,
    'store_lost_replies': store_faults.lose_replies,
    'host_list_lag': store_faults.delay_hosts,
    'new_version': new_version,
    'two_operators': two_operators,
}


def inject_faults(state: soak_state.SoakState) -> None:
    """Begin a random fault unless two are active, and schedule the next."""
    if not state.sending:
        return
    random = state.replay.random
    scheduler = state.replay.scheduler
    interval_ms = 1 + round(random.expovariate(1.0) * MEAN_INTERVAL_MS)
    scheduler.after(interval_ms, lambda: inject_faults(state))
    running = sum(state.faults.values()) + len(state.stopping_since_ms)
    if running >= MAX_FAULTS:
        return
    name = random.choice(list(FAULTS))
    if state.faults.get(name):
        return
    state.faults[name] = 1
    state.injected[name] = state.injected.get(name, 0) + 1
    reporting.add_to_digest(state, f'fault {name}')
    undo = FAULTS[name](state)

    def end() -> None:
        undo()
        state.faults[name] = 0

    mean_ms = MEAN_LENGTHS_MS.get(name, DEFAULT_MEAN_LENGTH_MS)
    length_ms = MIN_LENGTHS_MS.get(name, 1) + round(
        random.expovariate(1.0) * mean_ms
    )
    scheduler.after(length_ms, end)
