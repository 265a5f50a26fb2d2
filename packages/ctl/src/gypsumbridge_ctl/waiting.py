"""Waits until a change is in force."""

import time
from typing import Any

from gypsumbridge_ctl import client
from gypsumbridge_ctl import ctl_error
from gypsumbridge_ctl import exit_code
from gypsumbridge_ctl import reply as replies

POLL_S = 0.25


def wait_in_force(
    call: client.Call, kind: str, name: str, timeout_s: float
) -> dict[str, Any]:
    """Return the resource once it is in force on all live nodes.

    Raises CtlError if that takes longer than `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        path = f'/v1/resources/{kind}/{name}'
        item = replies.check(call('GET', path, None, {}))
        if item['status']['in_force']:
            return item
        if time.monotonic() >= deadline:
            raise ctl_error.CtlError(
                exit_code.ExitCode.NOT_IN_FORCE,
                f'{kind} {name} is not in force after {timeout_s:g} s:'
                f' {item["status"]["lagging_nodes"]} of'
                f' {item["status"]["live_nodes"]} nodes lag',
                'wait longer, or find the nodes with gypsumctl status',
            )
        # Nodes have no long poll for this state, and the command has nothing
        # else to do meanwhile.
        time.sleep(POLL_S)
