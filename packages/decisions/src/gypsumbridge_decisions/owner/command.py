"""Commands that the owner's decisions return for its task to run."""

from gypsumbridge_decisions import messages

Command = (
    messages.ToPeer
    | messages.Timer
    | messages.EndpointRequest
    | messages.EndpointCancel
    | messages.EndpointCheck
    | messages.Decision
    | messages.Count
    | messages.InFlightReport
)
