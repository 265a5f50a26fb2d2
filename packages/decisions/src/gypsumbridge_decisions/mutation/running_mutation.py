"""A mutation in progress at its claimant."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.mutation import claim_run
from gypsumbridge_decisions.mutation import timing as timings


class RunningMutation:
    """The request, its destination and its run of the claim protocol.

    `retry_count` determines the backoff of the next retry.
    """

    def __init__(
        self,
        mutation: messages.Mutation,
        replica_set: str,
        version: str,
        owner: str,
        run: claim_run.ClaimRun,
        deadline_at_ms: int,
    ) -> None:
        self.mutation = mutation
        self.replica_set = replica_set
        self.version = version
        self.owner = owner
        self.run = run
        self.deadline_at_ms = deadline_at_ms
        self.retry_count = 0

    def timing(self, now_ms: int, wall_ms: int) -> timings.Timing:
        """Return whether the mutation may still be sent.

        The wall clock is checked as well, since the monotonic clock may
        stop while the host is suspended.
        """
        if wall_ms >= self.run.claim.key_expires_at_ms:
            return timings.Timing.EXPIRED
        late = wall_ms >= self.run.claim.send_before_ms
        if late or now_ms >= self.deadline_at_ms:
            return timings.Timing.LATE
        return timings.Timing.IN_TIME
