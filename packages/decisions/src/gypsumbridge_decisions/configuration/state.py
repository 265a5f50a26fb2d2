"""The state of the configuration task."""

from gypsumbridge_decisions.configuration import child_report
from gypsumbridge_decisions.configuration import contents
from gypsumbridge_decisions.configuration import core as cores
from gypsumbridge_decisions.configuration import open_pull
from gypsumbridge_decisions.configuration import staged as staged_types
from gypsumbridge_decisions.configuration import tree
from gypsumbridge_decisions.configuration import vote
from gypsumbridge_decisions.configuration import waiting_ask


class ConfigurationState:
    """What the node holds, whom it pulls from and what it has heard.

    `target` is the highest revision heard of. `store_seen` is the store's
    revision up to which its events have been read, or None before the
    first list. `reports` holds the latest report on each failure domain.
    """

    def __init__(self, node_id: str, core: cores.Core) -> None:
        self.node_id = node_id
        self.core = core
        self.contents = contents.Contents()
        self.staged: staged_types.Staged | None = None
        self.target = 0
        self.orders: dict[str, tuple[str, ...]] = {}
        self.parent_number = 0
        self.ticks = 0
        self.tokens = 0
        self.pulls: dict[str, open_pull.OpenPull] = {}
        self.stamps: dict[str, int] = {}
        self.children: dict[str, child_report.ChildReport] = {}
        self.reports: dict[str, child_report.ChildReport] = {}
        self.summaries_ms = vote.NEVER_MS
        self.asked_ms = vote.NEVER_MS
        self.store_seen: int | None = None
        self.store_calls: dict[str, int] = {}
        self.store_works = False
        self.asks: dict[str, waiting_ask.WaitingAsk] = {}
        # The end of the proof last reported, None while work is refused and
        # 0 before the first report.
        self.serving: int | None = 0

    @property
    def own_order(self) -> tuple[str, ...]:
        """The nodes of the own failure domain in their tree order."""
        return self.orders.get(self.core.failure_domain, ())

    @property
    def is_relay(self) -> bool:
        """Whether this node is one of the first two of its domain."""
        return self.node_id in self.own_order[: tree.RELAYS]


def make_configuration_state(
    node_id: str,
    failure_domain: str,
    failure_domains: tuple[str, ...],
    now_ms: int,
) -> ConfigurationState:
    """Return the state of a node that starts with empty memory."""
    core = cores.Core(failure_domain, failure_domains, now_ms)
    return ConfigurationState(node_id, core)
