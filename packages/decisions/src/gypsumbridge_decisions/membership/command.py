"""The commands that the membership task executes."""

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
