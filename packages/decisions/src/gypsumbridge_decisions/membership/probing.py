"""Runs probe rounds and handles the probes of other members."""

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


def run_probe_round(
    state: states.MembershipState, now_ms: int
) -> list[command.Command]:
    """Evaluate the last round and probe the next member."""
    commands: list[command.Command] = [
        messages.Timer(constants.PROBE_INTERVAL_MS, probe_tick.ProbeTick())
    ]
    state.last_tick_ms = now_ms
    state.rounds += 1
    if not state.self_suspected:
        pending = state.pending
        if pending is not None and not pending.acknowledged:
            commands += suspicion.suspect(state, pending.target, now_ms)
        commands += suspicion.expire_suspicions(state, now_ms)
    suspicion.remove_expired(state, now_ms)
    commands.append(self_suspicion.make_condition(state, now_ms))
    if state.rounds % constants.DEAD_PROBE_ROUNDS == 0:
        commands += _probe_dead(state)
    state.pending = None
    target = _next_target(state)
    if target is None:
        # Without another member, no probe can clear the self-suspicion.
        state.self_suspected = False
        return commands
    state.sequence += 1
    state.pending = pending_probe.PendingProbe(target.node_id, state.sequence)
    commands.append(send_probe(state, target, state.sequence))
    timer = indirect_probe_timer.IndirectProbeTimer(state.sequence)
    commands.append(messages.Timer(constants.DIRECT_TIMEOUT_MS, timer))
    return commands


def request_indirect_probes(
    state: states.MembershipState,
    timer: indirect_probe_timer.IndirectProbeTimer,
) -> list[command.Command]:
    """Request indirect probes of a member that has not acknowledged yet."""
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
            updates=updates.select_updates(state, helper),
        )
        commands.append(_to_address(helper, request))
    return commands


def receive_probe(
    state: states.MembershipState, probe: messages.Probe, now_ms: int
) -> list[command.Command]:
    """Acknowledge a probe."""
    commands = _apply_updates(state, probe.sender, probe.updates, now_ms)
    if probe.sender.state == messages.MemberState.DEAD:
        return commands
    ack = messages.ProbeAck(
        sender=state.own,
        subject=state.own,
        origin=probe.origin,
        sequence=probe.sequence,
        updates=updates.select_updates(state, probe.sender),
    )
    return [*commands, _to_address(probe.sender, ack)]


def receive_probe_request(
    state: states.MembershipState,
    request: messages.ProbeRequest,
    now_ms: int,
) -> list[command.Command]:
    """Probe a member on behalf of the sender."""
    commands = _apply_updates(state, request.sender, request.updates, now_ms)
    probe = messages.Probe(
        sender=state.own,
        origin=request.sender.node_id,
        sequence=request.sequence,
        updates=updates.select_updates(state, request.target),
    )
    return [*commands, _to_address(request.target, probe)]


def receive_ack(
    state: states.MembershipState, ack: messages.ProbeAck, now_ms: int
) -> list[command.Command]:
    """Record an acknowledgement, or forward it to the probe's origin."""
    commands = _apply_updates(state, ack.sender, ack.updates, now_ms)
    commands += updates.apply_update(state, ack.subject, now_ms)
    if ack.origin != state.own.node_id:
        return commands + _forward(state, ack)
    commands += self_suspicion.record_acknowledgement(
        state, ack.sequence, now_ms
    )
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
    """Return a probe from this node; no reply to sequence 0 is awaited."""
    probe = messages.Probe(
        sender=state.own,
        origin=state.own.node_id,
        sequence=sequence,
        updates=updates.select_updates(state, target),
    )
    return _to_address(target, probe)


def random_members(
    state: states.MembershipState, count: int, exclude: str
) -> list[messages.Member]:
    """Return up to `count` random members that are not dead."""
    names = state.live.sample(state.random, count, exclude)
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
        updates=updates.select_updates(state, origin.member),
    )
    return [_to_address(origin.member, forwarded)]


def _apply_updates(
    state: states.MembershipState,
    sender: messages.Member,
    member_updates: tuple[messages.Member, ...],
    now_ms: int,
) -> list[command.Command]:
    commands = updates.apply_update(state, sender, now_ms)
    for update in member_updates:
        commands += updates.apply_update(state, update, now_ms)
    return commands


def _next_target(state: states.MembershipState) -> messages.Member | None:
    """Return the next member of a pass over all members in random order.

    A pass bounds the number of rounds until every member is probed;
    independent random choices would not.
    """
    for _ in range(2):
        while state.probe_order:
            record = state.records.get(state.probe_order.pop())
            if record is not None and not record.is_dead():
                return record.member
        state.probe_order = list(state.live.names)
        state.random.shuffle(state.probe_order)
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


def _to_address(
    target: messages.Member, message: object
) -> messages.ToAddress:
    return messages.ToAddress(target.node_id, target.peer_address, message)
