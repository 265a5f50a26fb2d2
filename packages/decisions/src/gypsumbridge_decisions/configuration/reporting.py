"""Aggregates the revisions that nodes have applied.

A report has the same size for any number of nodes.
"""

from collections.abc import Iterable

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.configuration import child_report
from gypsumbridge_decisions.configuration import state as states
from gypsumbridge_decisions.configuration import steps
from gypsumbridge_decisions.configuration import tree
from gypsumbridge_decisions.configuration import vote as votes

# A little over three pull intervals. A child that has not pulled for longer
# has another parent or has died.
CHILD_TIMEOUT_MS = 1_600


def merge_reports(
    reports: Iterable[messages.SubtreeReport], target: int
) -> messages.SubtreeReport:
    """Return one report that covers the nodes of all given ones.

    A report on a lower target than `target` counts all its nodes as
    lagging, unless its lowest revision shows that none is.
    """
    lowest: int | None = None
    nodes = lagging = age_ms = 0
    for report in reports:
        lowest = (
            report.lowest if lowest is None else min(lowest, report.lowest)
        )
        nodes += report.nodes
        lagging += lagging_nodes(report, target)
        age_ms = max(age_ms, report.age_ms)
    return messages.SubtreeReport(lowest or 0, nodes, lagging, target, age_ms)


def lagging_nodes(report: messages.SubtreeReport, revision: int) -> int:
    """Return how many nodes may not have applied a revision."""
    if report.lowest >= revision:
        return 0
    if report.target < revision:
        return report.nodes
    return report.lagging


def subtree_report(
    state: states.ConfigurationState, now_ms: int
) -> messages.SubtreeReport:
    """Return the report on this node and its children."""
    relays = state.own_order[: tree.RELAYS_PER_DOMAIN]
    reports = [_own_report(state)]
    for node_id, child in state.children.items():
        if node_id in relays:
            continue
        reports += _current_reports(child, now_ms)
    return merge_reports(reports, state.target)


def update_own_domain(state: states.ConfigurationState, now_ms: int) -> None:
    """At a relay, record the report on the node's own failure domain.

    If a member is not covered by any report, the lowest revision is 0, so
    that the failure domain does not count as holding a change.
    """
    if not state.is_relay:
        return
    reports = [subtree_report(state, now_ms)]
    for node_id in state.own_order[: tree.RELAYS_PER_DOMAIN]:
        if node_id != state.node_id and node_id in state.children:
            reports += _current_reports(state.children[node_id], now_ms)
    report = merge_reports(reports, state.target)
    missing = len(state.own_order) - report.nodes
    if missing > 0:
        report = messages.SubtreeReport(
            0,
            report.nodes + missing,
            report.lagging + missing,
            report.target,
            report.age_ms,
        )
    record_domain_report(
        state, state.core.failure_domain, report, now_ms - report.age_ms
    )


def record_domain_report(
    state: states.ConfigurationState,
    failure_domain: str,
    report: messages.SubtreeReport,
    since_ms: int,
) -> None:
    """Record a report on a failure domain unless a later one is held."""
    state.target = max(state.target, report.lowest)
    current = state.reports.get(failure_domain)
    if current is not None and current.since_ms >= since_ms:
        return
    state.reports[failure_domain] = child_report.ChildReport(
        report, since_ms, since_ms
    )
    received = votes.Vote(
        failure_domain, lowest=report.lowest, lowest_at_ms=since_ms
    )
    state.core = steps.record_vote(state.core, received)


def remove_expired_children(
    state: states.ConfigurationState, now_ms: int
) -> None:
    """Remove the children whose last pull is too old."""
    for node_id, child in list(state.children.items()):
        if now_ms - child.last_contact_ms > CHILD_TIMEOUT_MS:
            del state.children[node_id]


def _own_report(
    state: states.ConfigurationState,
) -> messages.SubtreeReport:
    revision = state.core.revision
    lagging = int(revision < state.target)
    return messages.SubtreeReport(revision, 1, lagging, state.target, 0)


def _current_reports(
    child: child_report.ChildReport, now_ms: int
) -> list[messages.SubtreeReport]:
    if now_ms - child.last_contact_ms > CHILD_TIMEOUT_MS:
        return []
    report = child.report
    return [
        messages.SubtreeReport(
            report.lowest,
            report.nodes,
            report.lagging,
            report.target,
            now_ms - child.since_ms,
        )
    ]
