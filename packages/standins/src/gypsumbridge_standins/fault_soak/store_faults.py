"""Faults of the store and work of the operator."""

from twisted.internet import task

from gypsumbridge_platform import platform_adapter
from gypsumbridge_standins.fault_soak import control
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import disturbance
from gypsumbridge_standins.fault_soak import fault as faults
from gypsumbridge_standins.fault_soak import soak_state

PREFIX = platform_adapter.make_adapter().schema.searcher_prefix
UNREADABLE = (
    '',
    '\x00\x01',
    '{}',
    '[]',
    '{"backend": 7}',
    '{"backend": "s1", "address": "nowhere", "zone": "d1", "slots": 2,'
    ' "state": "ready"}',
    '{"backend": "s1", "address": "127.0.0.1:1", "zone": "d1", "slots": 2,'
    ' "state": "unheard-of"}',
)


async def outage(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Let the store refuse every call for a while."""
    if 'store' in state.busy:
        return
    state.busy.add('store')
    end = disturbance.begin(state, state.unplanned, 'store')
    await control.order(state, 0, outage=True)
    await task.deferLater(state.reactor, fault.for_ms / 1_000, lambda: None)
    await control.order(state, 0, outage=False)
    end()
    state.busy.discard('store')


async def compact(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Let the store forget its history."""
    await control.order(state, 0, compact=True)


async def write_unreadable(
    state: soak_state.SoakState, fault: faults.Fault
) -> None:
    """Write an entry that names no searcher to use."""
    text = UNREADABLE[int(fault.choice * len(UNREADABLE))]
    await control.order(state, 0, raw={f'{PREFIX}stranger': text})


async def configure(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Write the next version of the configuration."""
    # The number is taken at once, since two faults may do so together.
    version = max(state.versions) + 1
    state.versions[version] = disturbance.NEVER_MS
    await control.order(state, 0, config=deployment.make_config(version))
    state.versions[version] = state.clock.now_ms()
