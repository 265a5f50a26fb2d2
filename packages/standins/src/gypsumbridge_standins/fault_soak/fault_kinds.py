"""Maps each kind of fault to the function that injects it."""

from collections.abc import Callable

from gypsumbridge_standins.fault_soak import drill_faults
from gypsumbridge_standins.fault_soak import evacuation_faults
from gypsumbridge_standins.fault_soak import fleet_faults
from gypsumbridge_standins.fault_soak import gateway_faults
from gypsumbridge_standins.fault_soak import link_faults
from gypsumbridge_standins.fault_soak import link_mode
from gypsumbridge_standins.fault_soak import searcher_faults
from gypsumbridge_standins.fault_soak import store_faults

LINK_GROUPS = ('callers', 'store', 'peers', 'searchers')
SEARCHER_FAULTS = (
    'silent',
    'truncate',
    'garbage',
    'extra',
    'error',
    'shed',
    'stray',
    'busy',
    'endless_head',
    'endless_body',
)

INJECT: dict[str, Callable] = {
    'kill': gateway_faults.exclusive(gateway_faults.kill),
    'pause': gateway_faults.exclusive(gateway_faults.pause),
    'stop': gateway_faults.exclusive(gateway_faults.stop),
    'reload': gateway_faults.exclusive(gateway_faults.reload),
    'searchers_kill': searcher_faults.kill,
    'searchers_pause': searcher_faults.pause,
    'drain': searcher_faults.drain,
    'leave': searcher_faults.leave,
    'unreadable_entry': store_faults.write_unreadable,
    'outage': store_faults.outage,
    'compact': store_faults.compact,
    'configure': store_faults.configure,
    'evacuate': evacuation_faults.evacuate,
    'drill': drill_faults.drill,
    'replace': fleet_faults.replace,
    'slow_down': fleet_faults.slow_down,
    **{
        f'{group}_{mode.value}': link_faults.make_link_fault(group, mode)
        for group in LINK_GROUPS
        for mode in link_mode.LinkMode
        if mode is not link_mode.LinkMode.PASS
    },
    **{
        f'searcher_{fault_name}': searcher_faults.make_response_fault(
            fault_name
        )
        for fault_name in SEARCHER_FAULTS
    },
}
