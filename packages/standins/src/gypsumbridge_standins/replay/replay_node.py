"""An in-memory node."""

from typing import Any

from gypsumbridge_decisions import front
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import owner
from gypsumbridge_standins.replay import control


class ReplayNode:
    """The states of a node's tasks, and whether it is alive or paused.

    Messages to a paused node are held until it resumes; those to a stopped
    one are lost. `control` is None in a fleet without control tasks, whose
    members and catalog are set from outside.
    """

    def __init__(self, member: messages.Member, owner_silence_ms: int) -> None:
        self.member = member
        self.front = front.make_front_state(member.node_id, owner_silence_ms)
        self.owner = owner.make_owner_state(member.node_id)
        self.alive = True
        self.paused = False
        self.held_messages: list[Any] = []
        self.control: control.Control | None = None
        self.last_hosts: messages.HostList | None = None
