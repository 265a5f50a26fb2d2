"""State of the claim model."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_standins.models import claim_request


@dataclasses.dataclass(frozen=True)
class ClaimWorld:
    """The store's one key and all requests for it.

    `violation` describes a wrong answer or send in a step, empty if there
    was none. `faults` is the number of faults that may still occur.
    """

    requests: tuple[claim_request.ClaimRequest, ...]
    claim: messages.Claim | None = None
    revision: int = 0
    expired: bool = False
    violation: str = ''
    faults: int = 0

    def executed(self) -> int:
        """Return how many times a mutation with the key ran."""
        return sum(request.executed for request in self.requests)

    def unused_revision(self) -> int:
        """Return a revision that nothing in the state refers to.

        Revisions are only compared for equality, so numbers are reused to
        reduce the number of states.
        """
        used = {0, self.revision}
        for request in self.requests:
            used |= request.revisions()
        return next(n for n in range(1, len(used) + 1) if n not in used)

    def use_fault(self) -> 'ClaimWorld':
        """Return the state with one fault less to occur."""
        return dataclasses.replace(self, faults=self.faults - 1)

    def replace_request(
        self, number: int, request: claim_request.ClaimRequest
    ) -> 'ClaimWorld':
        """Return the state with one request replaced."""
        requests = list(self.requests)
        requests[number] = request
        # `dataclasses.replace` here would take half of the search's time.
        return ClaimWorld(
            tuple(requests),
            self.claim,
            self.revision,
            self.expired,
            self.violation,
            self.faults,
        )
