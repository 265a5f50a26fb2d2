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
    maps silent members to the start of their suspicion. `unsent` counts
    how often each update was sent. `order` holds the members still to be
    probed in this pass. While `doubting`, only an acknowledgement of a
    probe after `doubt_sequence` counts. `shown` is the view of the fleet
    that other tasks have, except for the members in `dirty`.
    """

    def __init__(self, own: messages.Member, seed: str) -> None:
        self.own = own
        self.random = random.Random(seed)
        self.records: dict[str, member_record.MemberRecord] = {}
        self.live = live_index.LiveIndex()
        self.dead: dict[str, None] = {}
        self.listed: dict[str, messages.HostEntry] = {}
        self.seeded = False
        self.suspects: dict[str, int] = {}
        self.unsent: dict[str, int] = {}
        self.order: list[str] = []
        self.pending: pending_probe.PendingProbe | None = None
        self.sequence = 0
        self.rounds = 0
        self.last_tick_ms: int | None = None
        self.doubting = False
        self.doubt_sequence = 0
        self.left = False
        self.dirty: set[str] = {own.node_id}
        self.published_members: dict[str, messages.Member] = {}

    def live_count(self) -> int:
        """Return the size of the fleet with this node."""
        return len(self.live.names) + 1

    def store(self, member: messages.Member, now_ms: int) -> None:
        """Remember the latest news of another member."""
        node_id = member.node_id
        self.records[node_id] = member_record.MemberRecord(member, now_ms)
        self.dirty.add(node_id)
        if member.state == messages.MemberState.DEAD:
            self.live.discard(node_id)
            self.dead[node_id] = None
        else:
            self.dead.pop(node_id, None)
            self.live.add(node_id)

    def forget(self, node_id: str) -> None:
        """Drop what is remembered of a dead member."""
        del self.records[node_id]
        del self.dead[node_id]
        self.unsent.pop(node_id, None)


def make_membership_state(own: messages.Member, seed: str) -> MembershipState:
    """Return the state of a node that knows only itself."""
    return MembershipState(own, seed)
