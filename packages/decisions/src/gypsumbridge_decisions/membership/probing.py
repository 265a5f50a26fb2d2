"""Probe rounds and the answers to other members' probes."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.membership import command
from gypsumbridge_decisions.membership import constants
from gypsumbridge_decisions.membership import indirect_probe_timer
from gypsumbridge_decisions.membership import pending_probe
from gypsumbridge_decisions.membership import probe_tick
from gypsumbridge_decisions.membership import self_suspicion
from gypsumbridge_decisions.membership import state as states
from gypsumbridge_decisions.membership import suspicion
from gypsumbridge_decisions.membership import updates


def tick(state: states.MembershipState, now_ms: int) -> list[command.Command]:
    """Judge the last round and probe the next member."""
    commands: list[command.Command] = [
        messages.Timer(constants.PROBE_INTERVAL_MS, probe_tick.ProbeTick())
    ]
    state.last_tick_ms = now_ms
    state.rounds += 1
    if not state.doubting:
        pending = state.pending
        if pending is not None and not pending.acknowledged:
            commands += suspicion.suspect(state, pending.target, now_ms)
        commands += suspicion.expire(state, now_ms)
    suspicion.forget(state, now_ms)
    commands.append(self_suspicion.make_condition(state, now_ms))
    if state.rounds % constants.DEAD_PROBE_ROUNDS == 0:
        commands += _probe_dead(state)
    state.pending = None
    target = _next_target(state)
    if target is None:
        # Without another member nobody can acknowledge this node.
        state.doubting = False
        return commands
    state.sequence += 1
    state.pending = pending_probe.PendingProbe(target.node_id, state.sequence)
    commands.append(send_probe(state, target, state.sequence))
    timer = indirect_probe_timer.IndirectProbeTimer(state.sequence)
    commands.append(messages.Timer(constants.DIRECT_TIMEOUT_MS, timer))
    return commands


def ask_others(
    state: states.MembershipState,
    timer: indirect_probe_timer.IndirectProbeTimer,
) -> list[command.Command]:
    """Ask other members to probe a member that has not answered yet."""
    pending = state.pending
    if pending is None or pending.sequence != timer.sequence:
        return []
    record = state.records.get(pending.target)
    if pending.acknowledged or record is None:
        return []
    commands: list[command.Command] = []
    helpers = random_members(state, constants.INDIRECT_PROBES, pending.target)
    for helper in helpers:
        request = messages.ProbeRequest(
            sender=state.own,
            target=record.member,
            sequence=pending.sequence,
            updates=updates.take_updates(state, helper),
        )
        commands.append(_to(helper, request))
    return commands


def receive_probe(
    state: states.MembershipState, probe: messages.Probe, now_ms: int
) -> list[command.Command]:
    """Acknowledge a probe."""
    commands = _learn_all(state, probe.sender, probe.updates, now_ms)
    if probe.sender.state == messages.MemberState.DEAD:
        return commands
    ack = messages.ProbeAck(
        sender=state.own,
        subject=state.own,
        origin=probe.origin,
        sequence=probe.sequence,
        updates=updates.take_updates(state, probe.sender),
    )
    return [*commands, _to(probe.sender, ack)]


def receive_request(
    state: states.MembershipState,
    request: messages.ProbeRequest,
    now_ms: int,
) -> list[command.Command]:
    """Probe a member for another one."""
    commands = _learn_all(state, request.sender, request.updates, now_ms)
    probe = messages.Probe(
        sender=state.own,
        origin=request.sender.node_id,
        sequence=request.sequence,
        updates=updates.take_updates(state, request.target),
    )
    return [*commands, _to(request.target, probe)]


def receive_ack(
    state: states.MembershipState, ack: messages.ProbeAck, now_ms: int
) -> list[command.Command]:
    """Record an acknowledgement or pass it on to who asked for it."""
    commands = _learn_all(state, ack.sender, ack.updates, now_ms)
    commands += updates.learn(state, ack.subject, now_ms)
    if ack.origin != state.own.node_id:
        return commands + _forward(state, ack)
    commands += self_suspicion.acknowledge(state, ack.sequence, now_ms)
    pending = state.pending
    if pending is None or pending.sequence != ack.sequence:
        return commands
    state.pending = dataclasses.replace(pending, acknowledged=True)
    if ack.subject.state == messages.MemberState.LEAVING:
        state.suspects.pop(ack.subject.node_id, None)
    return commands


def send_probe(
    state: states.MembershipState, target: messages.Member, sequence: int
) -> messages.ToAddress:
    """Return a probe of this node's own; sequence 0 needs no answer."""
    probe = messages.Probe(
        sender=state.own,
        origin=state.own.node_id,
        sequence=sequence,
        updates=updates.take_updates(state, target),
    )
    return _to(target, probe)


def random_members(
    state: states.MembershipState, count: int, without: str
) -> list[messages.Member]:
    """Return up to `count` members that are not dead."""
    names = state.live.draw(state.random, count, without)
    return [state.records[name].member for name in names]


def _forward(
    state: states.MembershipState, ack: messages.ProbeAck
) -> list[command.Command]:
    origin = state.records.get(ack.origin)
    if origin is None:
        return []
    forwarded = dataclasses.replace(
        ack,
        sender=state.own,
        updates=updates.take_updates(state, origin.member),
    )
    return [_to(origin.member, forwarded)]


def _learn_all(
    state: states.MembershipState,
    sender: messages.Member,
    news: tuple[messages.Member, ...],
    now_ms: int,
) -> list[command.Command]:
    commands = updates.learn(state, sender, now_ms)
    for update in news:
        commands += updates.learn(state, update, now_ms)
    return commands


def _next_target(state: states.MembershipState) -> messages.Member | None:
    """Return the next member of a pass through all in random order.

    Passes bound the rounds until every member is probed, which a free
    draw in each round would not.
    """
    for _ in range(2):
        while state.order:
            record = state.records.get(state.order.pop())
            if record is not None and not record.is_dead():
                return record.member
        state.order = list(state.live.names)
        state.random.shuffle(state.order)
    return None


def _probe_dead(state: states.MembershipState) -> list[command.Command]:
    dead = [
        state.records[node_id].member
        for node_id in state.dead
        if node_id in state.listed
    ]
    if not dead:
        return []
    return [send_probe(state, state.random.choice(dead), 0)]


def _to(target: messages.Member, message: object) -> messages.ToAddress:
    return messages.ToAddress(target.node_id, target.peer_address, message)
