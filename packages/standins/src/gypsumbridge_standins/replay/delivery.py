"""Delivers messages between nodes, endpoints and timers."""

from typing import Any

from gypsumbridge_decisions import front
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import owner
from gypsumbridge_standins.replay import control_routes
from gypsumbridge_standins.replay import control_run
from gypsumbridge_standins.replay import endpoint_run
from gypsumbridge_standins.replay import replay as replays
from gypsumbridge_standins.replay import replay_node
from gypsumbridge_wire import peer

FRONT_MESSAGES = (
    messages.Query,
    messages.QueryGone,
    messages.PartBatch,
    messages.OwnerAlive,
    front.QueryTimer,
    front.LivenessTimer,
    messages.MembersChanged,
)
SHARED_MESSAGES = (messages.CatalogChanged, messages.ServingChanged)


def deliver(replay: replays.Replay, node_id: str, message: Any) -> None:
    """Handle a message at a node, or hold it while the node is paused."""
    node = replay.nodes[node_id]
    if not node.alive:
        return
    if node.paused:
        node.held_messages.append(message)
        return
    now_ms = replay.scheduler.now_ms()
    if node.control is not None:
        commands = control_routes.decide(node, node.control, message, now_ms)
        execute(replay, node, commands)
        replay.on_handled(node_id, message)
        return
    if isinstance(message, FRONT_MESSAGES + SHARED_MESSAGES):
        commands = front.handle(node.front, message, now_ms)
        execute(replay, node, commands)
    if not isinstance(message, FRONT_MESSAGES):
        commands = owner.handle(node.owner, message, now_ms)
        execute(replay, node, commands)


def execute(
    replay: replays.Replay, node: replay_node.ReplayNode, commands: list[Any]
) -> None:
    """Execute the commands of a decision."""
    node_id = node.member.node_id
    for command in commands:
        match command:
            case messages.ToPeer() | messages.ToAddress():
                send(replay, node_id, command.node_id, command.message)
            case messages.Timer():
                deliver_later(replay, node, command.delay_ms, command.event)
            case messages.EndpointRequest():
                endpoint_run.request(
                    replay, node_id, command, make_reply_function(replay, node)
                )
            case messages.EndpointCancel():
                endpoint_run.cancel(
                    replay, node_id, command, make_reply_function(replay, node)
                )
            case messages.Answer() | messages.Refusal():
                replay.on_answer(node_id, command)
            case messages.Count():
                total = replay.counts.get(command.name, 0)
                replay.counts[command.name] = total + command.value
            case messages.Decision():
                replay.on_decision(node_id, command)
            case _ if node.control is not None:
                control_run.perform(
                    replay,
                    node_id,
                    node.control,
                    command,
                    make_deliver_later(replay, node),
                )


def make_deliver_later(
    replay: replays.Replay, node: replay_node.ReplayNode
) -> control_run.DeliverLater:
    """Return a function that delivers to a node until its restart."""

    def deliver_to_run(delay_ms: int, message: Any) -> None:
        deliver_later(replay, node, delay_ms, message)

    return deliver_to_run


def make_reply_function(
    replay: replays.Replay, node: replay_node.ReplayNode
) -> endpoint_run.ReplyTo:
    """Return a function that delivers an endpoint's reply to a node."""

    def deliver_reply(delay_ms: int, message: messages.EndpointReply) -> None:
        deliver_later(replay, node, delay_ms, message)

    return deliver_reply


def deliver_later(
    replay: replays.Replay,
    node: replay_node.ReplayNode,
    delay_ms: int,
    message: Any,
) -> None:
    """Deliver to a node after a delay, unless it has been restarted."""
    node_id = node.member.node_id

    def run() -> None:
        if replay.nodes.get(node_id) is node:
            deliver(replay, node_id, message)

    replay.scheduler.after(delay_ms, run)


def send(
    replay: replays.Replay, sender: str, receiver: str, message: Any
) -> None:
    """Send a message over the link between two nodes."""
    if receiver not in replay.nodes:
        return
    faults = replay.faults
    delay_ms = 0
    copies = 1
    if sender != receiver:
        replay.messages_sent += 1
        if frozenset((sender, receiver)) in replay.cut_links:
            return
        if replay.random.random() < faults.loss:
            return
        delay_ms = faults.delay_ms
        if faults.jitter_ms:
            delay_ms += replay.random.randrange(faults.jitter_ms + 1)
        if replay.random.random() < faults.duplication:
            copies = 2
    if sender != receiver and replay.encode_messages:
        message = peer.decode(peer.encode(message))
    for _ in range(copies):
        node = replay.nodes[receiver]
        deliver_later(replay, node, delay_ms, message)


def resume(replay: replays.Replay, node_id: str) -> None:
    """Resume a paused node and deliver the messages held for it."""
    node = replay.nodes[node_id]
    node.paused = False
    held_messages, node.held_messages = node.held_messages, []
    for message in held_messages:
        deliver(replay, node_id, message)
