"""What the connections of a process share."""

from collections.abc import Callable
import dataclasses
import resource

from gypsumbridge_node import metrics
from gypsumbridge_node.gateway import limit_reports
from gypsumbridge_node.gateway import memory_budget
from gypsumbridge_node.gateway import open_connections
from gypsumbridge_node.gateway.settings import limits_settings


def ignore_report(limit: str) -> None:
    """Ignore that a connection has met a limit."""


@dataclasses.dataclass(frozen=True)
class EdgeResources:
    """The memory and descriptors that connections share.

    `report` is called with the name of each limit that one of them meets.
    """

    budget: memory_budget.MemoryBudget
    connections: open_connections.OpenConnections
    report: Callable[[str], None] = ignore_report


def make_edge_resources(
    settings: limits_settings.LimitsSettings,
    report: Callable[[str], None] = ignore_report,
) -> EdgeResources:
    """Return the resources of a process, within its own limits."""
    fds, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if settings.max_fds:
        fds = min(fds, settings.max_fds)
    return EdgeResources(
        memory_budget.make_memory_budget(settings.memory_mb),
        open_connections.make_open_connections(fds),
        report,
    )


def make_reported_resources(
    settings: limits_settings.LimitsSettings,
    counters: metrics.Metrics,
    logger: object,
) -> EdgeResources:
    """Return the resources of a process that counts and logs limits met."""
    reports = limit_reports.LimitReports(counters.count, logger)
    return make_edge_resources(settings, reports.report)
