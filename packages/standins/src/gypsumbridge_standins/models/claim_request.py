"""One request of the claim model and its messages in flight."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import mutation


@dataclasses.dataclass(frozen=True)
class ClaimRequest:
    """A request at its node.

    `run` is None before the start and after the node was killed. `call` is
    in flight to the store and `reply` back; `delayed` holds writes whose
    reply is lost and that may be applied at any later time. `sent` is true
    while the mutation is at the owner, and `result` is in flight back.
    `answer` is what the caller got, empty before.
    """

    nonce: str
    fingerprint: str
    first_attempt: bool
    started: bool = False
    run: mutation.ClaimRun | None = None
    call: mutation.ReadClaim | mutation.WriteClaim | None = None
    reply: messages.ClaimReply | None = None
    delayed: frozenset[mutation.WriteClaim] = frozenset()
    retry_pending: bool = False
    sent: bool = False
    result: messages.PartOutcome | None = None
    deadline_passed: bool = False
    answer: str = ''
    executed: int = 0

    def revisions(self) -> set[int]:
        """Return every revision that is stored or in flight here."""
        used = {write.expected_revision for write in self.delayed}
        if self.run is not None:
            used |= {self.run.expected_revision, self.run.held_revision}
        if isinstance(self.call, mutation.WriteClaim):
            used.add(self.call.expected_revision)
        if self.reply is not None:
            used.add(self.reply.revision)
            used |= {item.revision for item in self.reply.items}
        return used
