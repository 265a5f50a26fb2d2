"""Planned changes of the searchers, which excuse nothing."""

from twisted.internet import defer
from twisted.internet import task

from gypsumbridge_standins.fault_soak import control
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import disturbance
from gypsumbridge_standins.fault_soak import fault as faults
from gypsumbridge_standins.fault_soak import searcher_faults
from gypsumbridge_standins.fault_soak import soak_state

# From the registration of a new searcher to the drain of the old one.
OVERLAP_S = 0.5
MAX_SLOWNESS = 10


async def replace(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Replace the searchers of a service one after the other, and back.

    The new searcher starts first, then the old one drains.
    """
    services = deployment.REPLICATED_SERVICES
    service = services[int(fault.choice * len(services))]
    pairs = [
        (f'{service}-{domain}', f'{service}-new-{domain}')
        for domain in deployment.DOMAINS
    ]
    targets = {searcher_id for pair in pairs for searcher_id in pair}
    if targets & state.under_fault:
        disturbance.log_event(state, 'replace skipped, another is active')
        return
    state.under_fault |= targets
    for old, new in pairs:
        await replace_one(state, old, new)
    await defer.gatherResults(
        [
            defer.ensureDeferred(replace_one(state, new, old))
            for old, new in pairs
        ]
    )
    state.under_fault -= targets


async def replace_one(state: soak_state.SoakState, old: str, new: str) -> None:
    """Register a searcher, then drain another one and remove its entry."""
    born = {new: state.clock.wall_ms()}
    await control.send_command(state, 0, born=born, states={new: 'ready'})
    await task.deferLater(state.reactor, OVERLAP_S, lambda: None)
    await control.send_command(state, 0, states={old: 'draining'})
    end = disturbance.begin_span(state, state.draining, old)
    await task.deferLater(
        state.reactor,
        searcher_faults.DRAIN_S + searcher_faults.SERVE_AFTER_BOUND_S,
        lambda: None,
    )
    end()
    await control.send_command(state, 0, removed=[old])


async def slow_down(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Make a searcher slower than the others for a time."""
    searcher_id = searcher_faults.choose_searcher(state, fault)
    number = deployment.DOMAINS.index(searcher_id.partition('-')[2])
    factor = 1 + fault.choice * (MAX_SLOWNESS - 1)
    await control.send_command(state, number, slowness={searcher_id: factor})
    await task.deferLater(state.reactor, fault.for_ms / 1_000, lambda: None)
    await control.send_command(state, number, slowness={searcher_id: 1})
