"""Dispatches messages to the decisions of the membership task."""

from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.membership import command
from gypsumbridge_decisions.membership import dissemination_timer
from gypsumbridge_decisions.membership import hosts
from gypsumbridge_decisions.membership import indirect_probe_timer
from gypsumbridge_decisions.membership import leaving
from gypsumbridge_decisions.membership import probe_tick
from gypsumbridge_decisions.membership import probing
from gypsumbridge_decisions.membership import publish
from gypsumbridge_decisions.membership import self_suspicion
from gypsumbridge_decisions.membership import state as states


def handle(
    state: states.MembershipState, message: Any, now_ms: int
) -> list[command.Command]:
    """Handle a message and return the resulting commands.

    A node that has left the fleet ignores all messages.
    """
    if state.left:
        return []
    commands = self_suspicion.check_gap(state, now_ms)
    commands += _dispatch(state, message, now_ms)
    commands += publish.publish_changes(state)
    return commands


def _dispatch(
    state: states.MembershipState, message: Any, now_ms: int
) -> list[command.Command]:
    match message:
        case messages.Probe():
            return probing.receive_probe(state, message, now_ms)
        case messages.ProbeAck():
            return probing.receive_ack(state, message, now_ms)
        case messages.ProbeRequest():
            return probing.receive_probe_request(state, message, now_ms)
        case probe_tick.ProbeTick():
            return probing.run_probe_round(state, now_ms)
        case indirect_probe_timer.IndirectProbeTimer():
            return probing.request_indirect_probes(state, message)
        case messages.HostList():
            return hosts.apply_host_list(state, message, now_ms)
        case messages.AnnounceLeaving():
            return leaving.announce_leaving(state)
        case dissemination_timer.DisseminationTimer():
            return [messages.LeavingAnnounced()]
        case messages.LeaveFleet():
            return leaving.leave(state)
        case _:
            raise TypeError(
                f'unexpected message for membership: {type(message).__name__}'
            )
