"""Commands that the front's decisions return for its task to run."""

from gypsumbridge_decisions import messages

Command = (
    messages.ToPeer
    | messages.Timer
    | messages.Answer
    | messages.Refusal
    | messages.Decision
    | messages.Count
    | messages.InFlightReport
)
