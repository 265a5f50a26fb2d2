"""Evacuations of failure domains by the operator."""

from twisted.internet import task

from gypsumbridge_platform import platform_adapter
from gypsumbridge_standins.fault_soak import control
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import disturbance
from gypsumbridge_standins.fault_soak import fault as faults
from gypsumbridge_standins.fault_soak import soak_state

PREFIX = platform_adapter.make_adapter().schema.evacuation_prefix
EVACUATION = 'evacuation'
# An evacuation lasts this long beyond the bound, so that late requests are
# found.
LAST_AFTER_BOUND_MS = 2_000


async def evacuate(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Evacuate a failure domain, and take it back later.

    There is one evacuation at a time, since with more of them no service
    would have a searcher.
    """
    if EVACUATION in state.under_fault:
        disturbance.log_event(state, 'evacuation skipped, another is active')
        return
    state.under_fault.add(EVACUATION)
    number = int(fault.choice * len(deployment.DOMAINS))
    domain = deployment.DOMAINS[number]
    await control.send_command(state, 0, raw={PREFIX + domain: ''})
    end = disturbance.begin_span(state, state.evacuated, domain)
    length_ms = deployment.EVACUATION_MS + LAST_AFTER_BOUND_MS + fault.for_ms
    await task.deferLater(state.reactor, length_ms / 1_000, lambda: None)
    end()
    await control.send_command(state, 0, deleted=[PREFIX + domain])
    state.under_fault.discard(EVACUATION)
