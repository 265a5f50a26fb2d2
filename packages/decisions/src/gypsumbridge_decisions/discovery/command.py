"""Commands that the discovery decisions return."""

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import quotas
from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import discovery_ready
from gypsumbridge_decisions.discovery import list_store
from gypsumbridge_decisions.discovery import watch_store
from gypsumbridge_decisions.discovery import write_node

Command = (
    list_store.ListStore
    | watch_store.WatchStore
    | write_node.WriteNode
    | forwarding.RoutesChanged
    | forwarding.SearchersChanged
    | forwarding.HoldChanged
    | forwarding.EvacuationChanged
    | forwarding.FleetSizeChanged
    | forwarding.NodesChanged
    | quotas.HoldersChanged
    | forwarding.CopyConfirmed
    | discovery_ready.DiscoveryReady
    | relaying.WatchPeer
    | relaying.AnswerPoll
    | messages.Timer
    | messages.Decision
    | messages.Count
)
