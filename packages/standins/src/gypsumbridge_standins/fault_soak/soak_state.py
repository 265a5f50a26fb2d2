"""State of a run."""

from typing import Any

from twisted.internet import defer

from gypsumbridge_decisions import clock as clocks
from gypsumbridge_standins.cluster import cluster as clusters
from gypsumbridge_standins.fault_soak import drill
from gypsumbridge_standins.fault_soak import link_state
from gypsumbridge_standins.fault_soak import outcome as outcomes
from gypsumbridge_standins.fault_soak import soak_plan
from gypsumbridge_standins.fault_soak import span


class SoakState:
    """The processes and links of a run, its outcomes and violations.

    `links` has the keys `callers/NODE`, `store/NODE`, `peers/NODE` and
    `searchers/DOMAIN`. `unplanned` and `planned` hold the spans of faults
    and of planned work by node, or under `store`, `peers` and `searchers`.
    `versions` holds when the store accepted each version of the
    configuration, which the operator writes while it holds `operator_lock`.
    `draining` holds the spans in which a searcher drains;
    `leaving` those in which its answers say that it leaves, `departed` those
    in which a searcher drains over one of the `drills`, and `evacuated` those
    in which a failure domain is under evacuation.
    `under_fault` names the targets of faults that exclude each other.
    `forwarded_ms` holds when the link to a gateway forwarded a request; it
    lacks requests that arrived while no process listened there.
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
        self.operator_lock = defer.DeferredLock()
        self.draining: dict[str, list[span.Span]] = {}
        self.leaving: dict[str, list[span.Span]] = {}
        self.evacuated: dict[str, list[span.Span]] = {}
        self.departed: dict[str, list[span.Span]] = {}
        self.drills: list[drill.Drill] = []
        self.events: list[str] = []
        self.violations: list[str] = []
        self.under_fault: set[str] = set()
        self.forwarded_ms: dict[str, int] = {}
        self.ready_addresses: dict[str, str] = {}
        self.sent_count = 0
        self.stopping = False
