"""One request of the claim model and what is under way for it."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import mutation


@dataclasses.dataclass(frozen=True)
class ClaimRequest:
    """A request at its node.

    `run` is None before the start and after the node was killed. `call`
    is at the store, `reply` on its way back; `delayed` are writes whose
    reply is lost and that may be applied at any later time. `sent` is at
    the owner, `result` on its way back. `late` says that the deadline has
    passed. `told` is the caller's answer.
    """

    nonce: str
    fingerprint: str
    first_attempt: bool
    started: bool = False
    run: mutation.ClaimRun | None = None
    call: mutation.ReadClaim | mutation.WriteClaim | None = None
    reply: messages.ClaimReply | None = None
    delayed: frozenset[mutation.WriteClaim] = frozenset()
    resuming: bool = False
    sent: bool = False
    result: messages.PartOutcome | None = None
    late: bool = False
    told: str = ''
    executed: int = 0

    def revisions(self) -> set[int]:
        """Return every revision that is remembered or under way."""
        used = {write.expected_revision for write in self.delayed}
        if self.run is not None:
            used |= {self.run.expected_revision, self.run.held_revision}
        if isinstance(self.call, mutation.WriteClaim):
            used.add(self.call.expected_revision)
        if self.reply is not None:
            used.add(self.reply.revision)
            used |= {item.revision for item in self.reply.items}
        return used
