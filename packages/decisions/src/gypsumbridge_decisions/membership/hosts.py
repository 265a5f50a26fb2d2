"""Adds members from the platform's host list."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.membership import command
from gypsumbridge_decisions.membership import self_suspicion
from gypsumbridge_decisions.membership import state as states

NODE_ROLE = 'node'


def apply_host_list(
    state: states.MembershipState, hosts: messages.HostList, now_ms: int
) -> list[command.Command]:
    """Add listed nodes that are unknown; the list does not affect liveness.

    The list lags, so an address in it replaces a known one only if it
    differs from the address in the previous list.
    """
    first = not state.host_list_received
    before = state.listed
    state.host_list_received = True
    state.listed = {h.name: h for h in hosts.hosts if h.role == NODE_ROLE}
    for name in state.listed.keys() | before.keys():
        if state.listed.get(name) != before.get(name):
            state.dirty.add(name)
    for name, host in state.listed.items():
        if name == state.own.node_id:
            continue
        stored = state.records.get(name)
        if stored is None:
            member = _make_member(host, messages.Member(name, '', '', ''))
        elif name in before and _address_changed(host, before[name]):
            member = _make_member(host, stored.member)
        else:
            continue
        state.store(member, now_ms)
    return [self_suspicion.make_condition(state, now_ms)] if first else []


def _address_changed(
    host: messages.HostEntry, before: messages.HostEntry
) -> bool:
    return (host.peer_address, host.http_address) != (
        before.peer_address,
        before.http_address,
    )


def _make_member(
    host: messages.HostEntry, stored: messages.Member
) -> messages.Member:
    return dataclasses.replace(
        stored,
        failure_domain=host.failure_domain,
        peer_address=host.peer_address,
        http_address=host.http_address,
    )
