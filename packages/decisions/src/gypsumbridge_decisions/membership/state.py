"""State of the membership task."""

import random

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.membership import live_index
from gypsumbridge_decisions.membership import member_record
from gypsumbridge_decisions.membership import pending_probe


class MembershipState:
    """Everything that the membership task owns.

    `records` holds the other members by id; each of them is in `live` or
    `dead`. `listed` holds the nodes of the last host list. `suspects`
    maps unresponsive members to the start of their suspicion.
    `transmit_counts` counts how often each update was sent. `probe_order`
    holds the members still to be probed in this pass. While
    `self_suspected`, only the acknowledgement of a probe after
    `self_suspected_sequence` counts. `published_members` is the view of the
    fleet that other tasks have, except for the members in `dirty`.
    """

    def __init__(self, own: messages.Member, seed: str) -> None:
        self.own = own
        self.random = random.Random(seed)
        self.records: dict[str, member_record.MemberRecord] = {}
        self.live = live_index.LiveIndex()
        self.dead: dict[str, None] = {}
        self.listed: dict[str, messages.HostEntry] = {}
        self.host_list_received = False
        self.suspects: dict[str, int] = {}
        self.transmit_counts: dict[str, int] = {}
        self.probe_order: list[str] = []
        self.pending: pending_probe.PendingProbe | None = None
        self.sequence = 0
        self.rounds = 0
        self.last_tick_ms: int | None = None
        self.self_suspected = False
        self.self_suspected_sequence = 0
        self.left = False
        self.dirty: set[str] = {own.node_id}
        self.published_members: dict[str, messages.Member] = {}

    def live_count(self) -> int:
        """Return the size of the fleet, including this node."""
        return len(self.live.names) + 1

    def store(self, member: messages.Member, now_ms: int) -> None:
        """Store the latest update on another member."""
        node_id = member.node_id
        self.records[node_id] = member_record.MemberRecord(member, now_ms)
        self.dirty.add(node_id)
        if member.state == messages.MemberState.DEAD:
            self.live.discard(node_id)
            self.dead[node_id] = None
        else:
            self.dead.pop(node_id, None)
            self.live.add(node_id)

    def remove_dead(self, node_id: str) -> None:
        """Remove a dead member."""
        del self.records[node_id]
        del self.dead[node_id]
        self.transmit_counts.pop(node_id, None)


def make_membership_state(own: messages.Member, seed: str) -> MembershipState:
    """Return the state of a node without other members."""
    return MembershipState(own, seed)
