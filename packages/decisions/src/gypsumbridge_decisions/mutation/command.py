"""What the mutation task is told to do."""

from gypsumbridge_decisions import messages

Command = (
    messages.ToPeer
    | messages.Timer
    | messages.ClaimCall
    | messages.MutationAnswer
    | messages.ClaimReport
    | messages.Refusal
    | messages.Decision
    | messages.Count
)
