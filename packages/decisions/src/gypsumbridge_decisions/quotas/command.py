"""Commands that the quota decisions return."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.quotas import admission_result
from gypsumbridge_decisions.quotas import answer_grant
from gypsumbridge_decisions.quotas import ask_holder
from gypsumbridge_decisions.quotas import write_holder

Command = (
    admission_result.AdmissionResult
    | ask_holder.AskHolder
    | answer_grant.AnswerGrant
    | write_holder.WriteHolder
    | messages.Timer
    | messages.Decision
    | messages.Count
    | messages.Observe
)
