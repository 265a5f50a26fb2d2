"""State of a run."""

from typing import Any

from gypsumbridge_decisions import clock as clocks
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.fault_soak import link_state
from gypsumbridge_standins.fault_soak import outcome as outcomes
from gypsumbridge_standins.fault_soak import soak_plan
from gypsumbridge_standins.fault_soak import span


class SoakState:
    """The processes of a run, its links and what was seen.

    `links` has the names `callers/NODE`, `store/NODE`, `peers/NODE` and
    `searchers/DOMAIN`. `unplanned` and `planned` hold the spans of faults
    and of planned work by node, or under `store`, `peers` and `searchers`.
    `versions` and `draining` hold when the store took a version of the
    configuration or a searcher's announcement. `passed_ms` holds when the
    link to a gateway passed a request on, which it cannot while no process
    listens there.
    """

    def __init__(
        self,
        plan: soak_plan.SoakPlan,
        cluster: clusters.Cluster,
        clock: clocks.Clock,
        reactor: Any,
    ) -> None:
        self.plan = plan
        self.cluster = cluster
        self.clock = clock
        self.reactor = reactor
        self.links: dict[str, link_state.LinkState] = {}
        self.outcomes: list[outcomes.Outcome] = []
        self.unplanned: dict[str, list[span.Span]] = {}
        self.planned: dict[str, list[span.Span]] = {}
        self.versions: dict[int, int] = {}
        self.draining: dict[str, list[span.Span]] = {}
        self.events: list[str] = []
        self.breaches: list[str] = []
        self.busy: set[str] = set()
        self.passed_ms: dict[str, int] = {}
        self.ready_addresses: dict[str, str] = {}
        self.sent = 0
        self.stopping = False
