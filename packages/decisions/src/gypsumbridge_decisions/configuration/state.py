"""The state of the configuration task."""

from gypsumbridge_decisions.configuration import acceptance_wait
from gypsumbridge_decisions.configuration import child_report
from gypsumbridge_decisions.configuration import contents
from gypsumbridge_decisions.configuration import core as cores
from gypsumbridge_decisions.configuration import pending_pull
from gypsumbridge_decisions.configuration import (
    staged_snapshot as staged_snapshots,
)
from gypsumbridge_decisions.configuration import tree
from gypsumbridge_decisions.configuration import vote


class ConfigurationState:
    """The held configuration, pending pulls and the reports of others.

    `target` is the highest known revision. `orders` holds the node ids of
    each failure domain in tree order. `stamps` holds the last stamp of each
    node that replied to a pull. `children` holds the last report of each
    node that pulls from this one, `reports` the latest report on each
    failure domain. `store_revision` is the store's revision up to which
    its events have been read, or None before the first list.
    """

    def __init__(self, node_id: str, core: cores.Core) -> None:
        self.node_id = node_id
        self.core = core
        self.contents = contents.Contents()
        self.staged: staged_snapshots.StagedSnapshot | None = None
        self.target = 0
        self.orders: dict[str, tuple[str, ...]] = {}
        self.parent_index = 0
        self.ticks = 0
        self.last_token = 0
        self.pulls: dict[str, pending_pull.PendingPull] = {}
        self.stamps: dict[str, int] = {}
        self.children: dict[str, child_report.ChildReport] = {}
        self.reports: dict[str, child_report.ChildReport] = {}
        self.summaries_as_of_ms = vote.NEVER_MS
        self.summaries_requested_ms = vote.NEVER_MS
        self.store_revision: int | None = None
        self.store_calls: dict[str, int] = {}
        self.store_available = False
        self.acceptance_waits: dict[str, acceptance_wait.AcceptanceWait] = {}
        # The proof's expiry as last reported; None while work is refused, 0
        # before the first report.
        self.reported_until_ms: int | None = 0

    @property
    def own_order(self) -> tuple[str, ...]:
        """The nodes of the own failure domain in tree order."""
        return self.orders.get(self.core.failure_domain, ())

    @property
    def is_relay(self) -> bool:
        """Whether this node is a relay of its failure domain."""
        return self.node_id in self.own_order[: tree.RELAYS_PER_DOMAIN]


def make_configuration_state(
    node_id: str,
    failure_domain: str,
    failure_domains: tuple[str, ...],
    now_ms: int,
) -> ConfigurationState:
    """Return the state of a node that starts with empty memory."""
    core = cores.Core(failure_domain, failure_domains, now_ms)
    return ConfigurationState(node_id, core)
