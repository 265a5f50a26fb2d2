"""Commands that the forwarding decisions return."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import caller_response
from gypsumbridge_decisions.forwarding import cancel_attempt
from gypsumbridge_decisions.forwarding import send_attempt

Command = (
    caller_response.CallerResponse
    | send_attempt.SendAttempt
    | cancel_attempt.CancelAttempt
    | messages.Timer
    | messages.Decision
    | messages.Count
    | messages.Observe
)
