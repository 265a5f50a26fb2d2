"""Summaries of all failure domains, exchanged between nodes."""

import xxhash

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.configuration import quorum
from gypsumbridge_decisions.configuration import reporting
from gypsumbridge_decisions.configuration import state as states
from gypsumbridge_decisions.configuration import steps
from gypsumbridge_decisions.configuration import vote as votes

# Unchanged summaries are requested every two seconds to refresh their times.
# A change of one makes the digests differ, and then all are sent at once.
REFRESH_MS = 2_000
NO_DIGEST = 0


def make_summaries(
    state: states.ConfigurationState, now_ms: int
) -> tuple[messages.DomainSummary, ...]:
    """Return the vote of and the report on each failure domain."""
    made = []
    for domain, domain_report in sorted(state.reports.items()):
        vote = quorum.find_vote(state.core, domain)
        age_ms = None
        if vote.at_ms != votes.NEVER_MS:
            age_ms = now_ms - vote.at_ms
        report = messages.SubtreeReport(
            domain_report.report.lowest,
            domain_report.report.nodes,
            domain_report.report.lagging,
            domain_report.report.target,
            now_ms - domain_report.since_ms,
        )
        made.append(
            messages.DomainSummary(domain, vote.revision, age_ms, report)
        )
    return tuple(made)


def summaries_digest(state: states.ConfigurationState) -> int:
    """Return a hash of the reports without their ages."""
    lines = []
    for domain, domain_report in sorted(state.reports.items()):
        report = domain_report.report
        lines.append(
            f'{domain} {report.lowest} {report.nodes} {report.lagging}'
            f' {report.target}'
        )
    return xxhash.xxh3_64_intdigest('\n'.join(lines).encode()) or 1


def pull_digest(state: states.ConfigurationState, now_ms: int) -> int:
    """Return the digest for a pull; `NO_DIGEST` requests all summaries.

    Of the pulls that a relay sends on one tick, only one requests them.
    """
    if (
        now_ms - max(state.summaries_as_of_ms, state.summaries_requested_ms)
        >= REFRESH_MS
    ):
        state.summaries_requested_ms = now_ms
        return NO_DIGEST
    return summaries_digest(state)


def apply_summaries(
    state: states.ConfigurationState,
    summaries: tuple[messages.DomainSummary, ...],
    sent_ms: int,
) -> None:
    """Apply the summaries in a reply to a pull sent at `sent_ms`."""
    if not summaries:
        return
    state.summaries_as_of_ms = sent_ms
    for summary in summaries:
        domain = summary.failure_domain
        own_report = state.is_relay and domain == state.core.failure_domain
        if not own_report:
            since_ms = sent_ms - summary.report.age_ms
            reporting.record_domain_report(
                state, domain, summary.report, since_ms
            )
        if summary.vote_age_ms is None:
            continue
        received = votes.Vote(
            domain, summary.revision, sent_ms - summary.vote_age_ms
        )
        state.core = steps.record_vote(state.core, received)
