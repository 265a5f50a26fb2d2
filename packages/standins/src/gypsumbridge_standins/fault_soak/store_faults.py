"""Faults of the store and configuration changes by the operator."""

from twisted.internet import task

from gypsumbridge_platform import platform_adapter
from gypsumbridge_standins.fault_soak import control
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import disturbance
from gypsumbridge_standins.fault_soak import fault as faults
from gypsumbridge_standins.fault_soak import soak_state

PREFIX = platform_adapter.make_adapter().schema.searcher_prefix
NESTING_DEPTH = 20_000
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
    '{"backend": "s1", "address": "127.0.0.1:99999", "zone": "d1", "slots": 2,'
    ' "state": "ready"}',
    '{"backend": "s1", "address": "127.0.0.1:1", "zone": "d1", "slots": 1e999,'
    ' "state": "ready"}',
    '{"extra": ' + '[' * NESTING_DEPTH + ']' * NESTING_DEPTH + '}',
)


async def outage(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Make the store refuse every call for the length of the fault."""
    if 'store' in state.under_fault:
        return
    state.under_fault.add('store')
    end = disturbance.begin_span(state, state.unplanned, 'store')
    await control.send_command(state, 0, outage=True)
    await task.deferLater(state.reactor, fault.for_ms / 1_000, lambda: None)
    await control.send_command(state, 0, outage=False)
    end()
    state.under_fault.discard('store')


async def compact(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Make the store compact its history."""
    await control.send_command(state, 0, compact=True)


async def write_unreadable(
    state: soak_state.SoakState, fault: faults.Fault
) -> None:
    """Write a searcher's entry that gateways cannot read."""
    text = UNREADABLE[int(fault.choice * len(UNREADABLE))]
    await control.send_command(state, 0, raw={f'{PREFIX}stranger': text})


async def configure(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Write the next version of the configuration.

    An operator's writes follow each other. On a busy machine, one of two that
    overlapped came last with the lower version, which gateways that were
    restarted later then served.
    """
    async with state.operator_lock:
        version = max(state.versions) + 1
        state.versions[version] = disturbance.NEVER_MS
        await control.send_command(
            state, 0, config=deployment.make_config(version)
        )
        state.versions[version] = state.clock.now_ms()
