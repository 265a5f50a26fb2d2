"""State of the owner task."""

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import routing
from gypsumbridge_decisions.owner import extra_load_budget
from gypsumbridge_decisions.owner import operator_notice
from gypsumbridge_decisions.owner import pending_call
from gypsumbridge_decisions.owner import replica_set_state


class OwnerState:
    """All state of the owner task.

    `calls` maps the id of each request in flight to its call. `batches`
    maps (sender, request id, attempt) to the calls that have no result
    yet. `leaving_endpoints` maps endpoints to the sources, other than
    operators, that report them as leaving; `leaving_hosts` holds those that
    leave by this node's own copy of the host list. `leaving_notified` maps
    an endpoint to the owner and standby that were notified at the last
    change of members. `mutations` maps each recent (sender, mutation id) to
    its arrival time, oldest first.
    """

    def __init__(self, node_id: str) -> None:
        self.node_id = node_id
        self.catalog = catalog.empty_catalog()
        self.serving = messages.ServingChanged(
            messages.MissingReason.CONFIGURATION_STALE
        )
        self.sets: dict[
            tuple[str, str], replica_set_state.ReplicaSetState
        ] = {}
        self.budgets: dict[str, extra_load_budget.ExtraLoadBudget] = {}
        self.calls: dict[int, pending_call.PendingCall] = {}
        self.batches: dict[
            tuple[str, str, int], dict[str, pending_call.PendingCall]
        ] = {}
        self.ownership = routing.OwnershipCache()
        self.is_relay = False
        self.leaving_endpoints: dict[str, set[str]] = {}
        self.leaving_hosts: set[str] = set()
        self.leaving_notified: dict[str, tuple[str, ...]] = {}
        self.operator_notices: dict[str, operator_notice.OperatorNotice] = {}
        self.mutations: dict[tuple[str, str], int] = {}
        self.next_call_id = 1

    def budget(self, service: str) -> extra_load_budget.ExtraLoadBudget:
        """Return the budget of a service, created on first use."""
        found = self.budgets.get(service)
        if found is None:
            found = extra_load_budget.ExtraLoadBudget()
            self.budgets[service] = found
        return found


def make_owner_state(node_id: str) -> OwnerState:
    """Return the initial state of an owner."""
    return OwnerState(node_id)
