"""Routes messages to the tasks of a node, as the node's mailboxes do."""

from typing import Any

from gypsumbridge_decisions import configuration
from gypsumbridge_decisions import front
from gypsumbridge_decisions import lifecycle
from gypsumbridge_decisions import membership
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import mutation
from gypsumbridge_decisions import owner
from gypsumbridge_standins.replay import control as controls
from gypsumbridge_standins.replay import replay_node

# Unix time at the start of each replay.
EPOCH_MS = 1_800_000_000_000
FRONT, OWNER, MEMBERSHIP = 'front', 'owner', 'membership'
CONFIGURATION, MUTATION = 'configuration', 'mutation'
LIFECYCLE = 'lifecycle'

_ROUTES: dict[type, tuple[str, ...]] = {
    messages.Query: (FRONT,),
    messages.QueryGone: (FRONT,),
    messages.PartBatch: (FRONT,),
    messages.OwnerAlive: (FRONT,),
    front.QueryTimer: (FRONT,),
    front.LivenessTimer: (FRONT,),
    messages.MembersChanged: (FRONT, OWNER, MUTATION, CONFIGURATION),
    messages.CatalogChanged: (FRONT, OWNER, MUTATION),
    messages.ServingChanged: (FRONT, OWNER, MUTATION),
    messages.InFlightQuery: (FRONT, OWNER, MUTATION),
    messages.HostList: (OWNER, MEMBERSHIP),
    messages.Probe: (MEMBERSHIP,),
    messages.ProbeAck: (MEMBERSHIP,),
    messages.ProbeRequest: (MEMBERSHIP,),
    membership.ProbeTick: (MEMBERSHIP,),
    membership.IndirectProbeTimer: (MEMBERSHIP,),
    membership.DisseminationTimer: (MEMBERSHIP,),
    messages.AnnounceLeaving: (MEMBERSHIP,),
    messages.LeaveFleet: (MEMBERSHIP,),
    messages.ConfigPull: (CONFIGURATION,),
    messages.ConfigState: (CONFIGURATION,),
    messages.StoreReply: (CONFIGURATION,),
    messages.AwaitAccepted: (CONFIGURATION,),
    configuration.Tick: (CONFIGURATION,),
    configuration.AcceptanceTimeout: (CONFIGURATION,),
    messages.Mutation: (MUTATION,),
    messages.MutationResult: (MUTATION,),
    messages.ClaimReply: (MUTATION,),
    mutation.MutationTimer: (MUTATION,),
    mutation.SweepTimer: (MUTATION,),
    messages.ServingCondition: (LIFECYCLE,),
    messages.LeavingAnnounced: (LIFECYCLE,),
    messages.InFlightReport: (LIFECYCLE,),
    lifecycle.StopRequested: (LIFECYCLE,),
    lifecycle.BalancerLagTimer: (LIFECYCLE,),
    lifecycle.PollTimer: (LIFECYCLE,),
    lifecycle.FlushTimer: (LIFECYCLE,),
    lifecycle.StopBoundTimer: (LIFECYCLE,),
}


def decide(
    node: replay_node.ReplayNode,
    control: controls.Control,
    message: Any,
    now_ms: int,
) -> list[Any]:
    """Return the commands of every task that handles the message."""
    commands: list[Any] = []
    for task_name in _ROUTES.get(type(message), (OWNER,)):
        match task_name:
            case 'front':
                commands += front.handle(node.front, message, now_ms)
            case 'owner':
                commands += owner.handle(node.owner, message, now_ms)
            case 'membership':
                state = control.membership
                commands += membership.handle(state, message, now_ms)
            case 'configuration':
                commands += configuration.handle(
                    control.configuration, message, now_ms
                )
            case 'mutation':
                commands += _handle_mutation(control, message, now_ms)
            case 'lifecycle':
                commands += lifecycle.handle(
                    control.lifecycle, message, now_ms
                )
    return commands


def unix_time_ms(control: controls.Control, now_ms: int) -> int:
    """Return the Unix time on a node's clock."""
    return EPOCH_MS + now_ms + control.wall_offset_ms


def _handle_mutation(
    control: controls.Control, message: Any, now_ms: int
) -> list[Any]:
    if isinstance(message, messages.InFlightQuery):
        count = len(control.mutation.running)
        return [messages.InFlightReport(MUTATION, count)]
    now_wall_ms = unix_time_ms(control, now_ms)
    return list(
        mutation.handle(control.mutation, message, now_ms, now_wall_ms)
    )
