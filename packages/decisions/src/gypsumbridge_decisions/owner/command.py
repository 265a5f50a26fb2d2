"""What the owner task is told to do."""

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
