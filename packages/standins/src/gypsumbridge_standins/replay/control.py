"""The states of a node's control tasks."""

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import configuration
from gypsumbridge_decisions import lifecycle
from gypsumbridge_decisions import membership
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import mutation
from gypsumbridge_decisions import resources

# The clock skew is the default of the node's settings.
LIMITS = mutation.Limits(
    clock_skew_ms=10_000, max_key_lifetime_ms=7 * 86_400_000
)
BALANCER_LAG_MS = 2_000
STOP_BOUND_MS = 90_000


class Control:
    """States of membership, configuration, mutation and lifecycle.

    `declared` and `catalog` are the decoded resources that the
    configuration task keeps. `wall_offset_ms` is the constant error of the
    node's wall clock.
    """

    def __init__(
        self,
        member: messages.Member,
        domains: tuple[str, ...],
        seed: str,
        now_ms: int,
        wall_offset_ms: int,
    ) -> None:
        node_id = member.node_id
        self.membership = membership.make_membership_state(member, seed)
        self.configuration = configuration.make_configuration_state(
            node_id, member.failure_domain, domains, now_ms
        )
        self.mutation = mutation.make_mutation_state(node_id, LIMITS)
        self.lifecycle = lifecycle.make_lifecycle_state(
            BALANCER_LAG_MS, STOP_BOUND_MS
        )
        self.declared: dict[str, resources.Spec] = {}
        self.catalog = catalog.empty_catalog()
        self.wall_offset_ms = wall_offset_ms
        self.port_open = True
