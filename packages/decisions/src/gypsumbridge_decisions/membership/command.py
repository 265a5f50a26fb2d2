"""What the membership task is told to do."""

from gypsumbridge_decisions import messages

Command = (
    messages.ToAddress
    | messages.Timer
    | messages.MembersChanged
    | messages.ServingCondition
    | messages.LeavingAnnounced
    | messages.Decision
    | messages.Count
)
