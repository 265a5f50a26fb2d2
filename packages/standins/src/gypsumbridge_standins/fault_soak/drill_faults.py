"""Drills in which the store comes back from a copy."""

import dataclasses

from twisted.internet import task

from gypsumbridge_standins.fault_soak import control
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import disturbance
from gypsumbridge_standins.fault_soak import drill as drills
from gypsumbridge_standins.fault_soak import fault as faults
from gypsumbridge_standins.fault_soak import searcher_faults
from gypsumbridge_standins.fault_soak import soak_state
from gypsumbridge_standins.fault_soak import store_faults

# Gateways in contact have applied the changes that the copy lacks by then.
APPLIED_S = deployment.DRAIN_MS / 1_000 + 0.5
MIN_AWAY_MS = 200
MAX_AWAY_MS = 1_500
REWRITE_MS = 3_000
# Writes of others, which gateways do not read. The copy lacks them, and the
# store needs longer to give out their revisions again.
OTHER_PREFIX = 'other/'
OTHER_WRITES = 100
# The timer of the rewrite runs in another process.
REWRITE_SLACK_S = 0.5


async def drill(state: soak_state.SoakState, fault: faults.Fault) -> None:
    """Restore the store from a copy of some seconds ago.

    After the copy a version of the configuration is written and a searcher
    departs, so that the copy has the older version and the searcher.
    """
    searcher_id = searcher_faults.choose_searcher(state, fault)
    targets = {'store', searcher_id}
    if targets & state.under_fault:
        disturbance.log_event(state, 'drill skipped, another is active')
        return
    state.under_fault |= targets
    copied_ms = state.clock.now_ms()
    await control.send_command(state, 0, copy=True)
    other = {f'{OTHER_PREFIX}{n}': '' for n in range(OTHER_WRITES)}
    await control.send_command(state, 0, raw=other)
    await store_faults.configure(state, fault)
    await searcher_faults.depart(state, fault, searcher_id)
    end_departure = disturbance.begin_span(state, state.departed, searcher_id)
    await task.deferLater(state.reactor, APPLIED_S, lambda: None)
    end_absence = disturbance.begin_span(state, state.unplanned, 'store')
    began_ms = state.unplanned['store'][-1].start_ms
    found = drills.Drill(copied_ms, began_ms, disturbance.NEVER_MS)
    state.drills.append(found)
    away_ms = min(max(fault.for_ms, MIN_AWAY_MS), MAX_AWAY_MS)
    command = {'away_ms': away_ms, 'rewrite_ms': REWRITE_MS}
    await control.send_command(state, 0, drill=command)
    await task.deferLater(state.reactor, away_ms / 1_000, lambda: None)
    end_absence()
    rewrite_s = REWRITE_MS / 1_000 + REWRITE_SLACK_S
    await task.deferLater(state.reactor, rewrite_s, lambda: None)
    state.drills[-1] = dataclasses.replace(
        found, rewritten_ms=state.clock.now_ms()
    )
    end_departure()
    await control.send_command(state, 0, states={searcher_id: 'ready'})
    state.under_fault -= targets
