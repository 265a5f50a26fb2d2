"""What the front task is told to do."""

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
