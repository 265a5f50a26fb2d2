"""The commands that the lifecycle task executes."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.lifecycle import close_port
from gypsumbridge_decisions.lifecycle import exit_node

Command = (
    messages.ServingChanged
    | messages.Timer
    | messages.EndKeepAlive
    | messages.EndRequests
    | messages.AnnounceLeaving
    | messages.InFlightQuery
    | messages.LeaveFleet
    | messages.Decision
    | close_port.ClosePort
    | exit_node.ExitNode
)
