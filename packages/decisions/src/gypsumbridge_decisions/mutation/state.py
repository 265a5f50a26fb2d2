"""State of the mutation task."""

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import routing
from gypsumbridge_decisions.mutation import limits as all_limits
from gypsumbridge_decisions.mutation import pending_lookup
from gypsumbridge_decisions.mutation import running_mutation


class MutationState:
    """Everything that the mutation task owns.

    `running` includes mutations that are answered but whose claim is yet
    to be recorded or released.
    """

    def __init__(self, node_id: str, limits: all_limits.Limits) -> None:
        self.node_id = node_id
        self.limits = limits
        self.catalog = catalog.empty_catalog()
        self.ownership = routing.OwnershipCache()
        self.serving = messages.ServingChanged(
            messages.MissingReason.CONFIGURATION_STALE
        )
        self.running: dict[str, running_mutation.RunningMutation] = {}
        self.pending_lookups: dict[str, pending_lookup.PendingLookup] = {}


def make_mutation_state(
    node_id: str, limits: all_limits.Limits
) -> MutationState:
    """Return the state of a node without mutations."""
    return MutationState(node_id, limits)
