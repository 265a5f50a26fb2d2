"""Faults of links, injected by the loopback proxies."""

from collections.abc import Callable

from twisted.internet import task

from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import disturbance
from gypsumbridge_standins.fault_soak import fault as faults
from gypsumbridge_standins.fault_soak import gateway_faults
from gypsumbridge_standins.fault_soak import link_mode
from gypsumbridge_standins.fault_soak import link_proxy
from gypsumbridge_standins.fault_soak import soak_state


def make_link_fault(group: str, mode: link_mode.LinkMode) -> Callable:
    """Return a fault that puts one link of a group into a mode."""

    async def inject(state: soak_state.SoakState, fault: faults.Fault) -> None:
        if group == 'searchers':
            number = int(fault.choice * len(deployment.DOMAINS))
            name, disturbed = deployment.DOMAINS[number], 'searchers'
        else:
            name = disturbed = gateway_faults.choose_node(state, fault)
            if group == 'peers':
                # Gateways reach the store without their peers, so that this
                # fault does not count as a disturbance of the gateway.
                disturbed = 'peers'
        link = state.links[f'{group}/{name}']
        if link.mode is not link_mode.LinkMode.PASS:
            disturbance.log_event(
                state, f'{fault.kind} skipped, {name} has another fault'
            )
            return
        end = disturbance.begin_span(state, state.unplanned, disturbed)
        link_proxy.set_mode(link, mode)
        length_s = fault.for_ms / 1_000
        await task.deferLater(state.reactor, length_s, lambda: None)
        link_proxy.set_mode(link, link_mode.LinkMode.PASS)
        # Connections that lost bytes stay open and silent; gateways have to
        # detect them by their own timeouts.
        end()

    return inject
