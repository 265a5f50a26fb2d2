"""The result of a step of the claim protocol."""

from gypsumbridge_decisions.mutation import answer_caller
from gypsumbridge_decisions.mutation import claim_run
from gypsumbridge_decisions.mutation import read_claim
from gypsumbridge_decisions.mutation import retry_later
from gypsumbridge_decisions.mutation import send_mutation
from gypsumbridge_decisions.mutation import write_claim

Action = (
    read_claim.ReadClaim
    | write_claim.WriteClaim
    | send_mutation.SendMutation
    | retry_later.RetryLater
    | answer_caller.AnswerCaller
)
Step = tuple[claim_run.ClaimRun, list[Action]]
