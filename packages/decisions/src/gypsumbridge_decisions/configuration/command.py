"""The commands that the configuration task executes."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.configuration import publish

Command = (
    messages.ToPeer
    | messages.Timer
    | messages.StoreRequest
    | messages.ServingCondition
    | messages.AcceptedReport
    | messages.ForceReport
    | messages.Count
    | messages.Decision
    | publish.Publish
)
