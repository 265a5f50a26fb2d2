"""The commands that the mutation task executes."""

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
