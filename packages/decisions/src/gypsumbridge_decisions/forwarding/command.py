"""Commands that the forwarding decisions return."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import accept_delegated
from gypsumbridge_decisions.forwarding import caller_response
from gypsumbridge_decisions.forwarding import cancel_attempt
from gypsumbridge_decisions.forwarding import cancel_delegation
from gypsumbridge_decisions.forwarding import delegate_request
from gypsumbridge_decisions.forwarding import refuse_delegated
from gypsumbridge_decisions.forwarding import send_attempt
from gypsumbridge_decisions.quotas import admission_cancelled
from gypsumbridge_decisions.quotas import admission_request

Command = (
    caller_response.CallerResponse
    | send_attempt.SendAttempt
    | cancel_attempt.CancelAttempt
    | delegate_request.DelegateRequest
    | cancel_delegation.CancelDelegation
    | accept_delegated.AcceptDelegated
    | refuse_delegated.RefuseDelegated
    | admission_request.AdmissionRequest
    | admission_cancelled.AdmissionCancelled
    | messages.Timer
    | messages.Decision
    | messages.Count
    | messages.Observe
)
