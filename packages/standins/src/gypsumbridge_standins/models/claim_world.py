"""State of the claim model."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_standins.models import claim_request


@dataclasses.dataclass(frozen=True)
class ClaimWorld:
    """The store's one key and all requests for it.

    `wrong` names a broken rule about what was said or sent in a step.
    `faults` is how many more faults may happen.
    """

    requests: tuple[claim_request.ClaimRequest, ...]
    claim: messages.Claim | None = None
    revision: int = 0
    expired: bool = False
    wrong: str = ''
    faults: int = 0

    def executed(self) -> int:
        """Return how often a mutation ran under the key."""
        return sum(request.executed for request in self.requests)

    def unused_revision(self) -> int:
        """Return a revision that nothing in the state refers to.

        Revisions are only compared for equality, so reusing numbers keeps
        the states few.
        """
        used = {0, self.revision}
        for request in self.requests:
            used |= request.revisions()
        return next(n for n in range(1, len(used) + 1) if n not in used)

    def spend_fault(self) -> 'ClaimWorld':
        """Return the state with one fault fewer to come."""
        return dataclasses.replace(self, faults=self.faults - 1)

    def replace_request(
        self, number: int, request: claim_request.ClaimRequest
    ) -> 'ClaimWorld':
        """Return the state with one request replaced."""
        requests = list(self.requests)
        requests[number] = request
        # `dataclasses.replace` would take half of a search's time.
        return ClaimWorld(
            tuple(requests),
            self.claim,
            self.revision,
            self.expired,
            self.wrong,
            self.faults,
        )
