"""Summaries of all failure domains, as they travel between nodes."""

import xxhash

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.configuration import judge
from gypsumbridge_decisions.configuration import reporting
from gypsumbridge_decisions.configuration import state as states
from gypsumbridge_decisions.configuration import steps
from gypsumbridge_decisions.configuration import vote as votes

# Without a change, all summaries travel once in two seconds. A change of
# one makes the digests differ, and then all travel with recent times.
REFRESH_MS = 2_000
NO_DIGEST = 0


def make_summaries(
    state: states.ConfigurationState, now_ms: int
) -> tuple[messages.DomainSummary, ...]:
    """Return what this node knows of each failure domain."""
    made = []
    for domain, known in sorted(state.reports.items()):
        vote = judge.find_vote(state.core, domain)
        age_ms = None
        if vote.at_ms != votes.NEVER_MS:
            age_ms = now_ms - vote.at_ms
        report = messages.SubtreeReport(
            known.report.lowest,
            known.report.nodes,
            known.report.lagging,
            known.report.target,
            now_ms - known.since_ms,
        )
        made.append(
            messages.DomainSummary(domain, vote.revision, age_ms, report)
        )
    return tuple(made)


def digest(state: states.ConfigurationState) -> int:
    """Return a hash of the summaries without their ages."""
    parts = []
    for domain, known in sorted(state.reports.items()):
        report = known.report
        parts.append(
            f'{domain} {report.lowest} {report.nodes} {report.lagging}'
            f' {report.target}'
        )
    return xxhash.xxh3_64_intdigest('\n'.join(parts).encode()) or 1


def wanted_digest(state: states.ConfigurationState, now_ms: int) -> int:
    """Return the digest for a pull; `NO_DIGEST` asks for all summaries.

    Of the pulls that a relay sends at one time, one asks for them.
    """
    if now_ms - max(state.summaries_ms, state.asked_ms) >= REFRESH_MS:
        state.asked_ms = now_ms
        return NO_DIGEST
    return digest(state)


def hear_summaries(
    state: states.ConfigurationState,
    summaries: tuple[messages.DomainSummary, ...],
    sent_ms: int,
) -> None:
    """Note summaries from a reply to a pull sent at `sent_ms`."""
    if not summaries:
        return
    state.summaries_ms = sent_ms
    for summary in summaries:
        domain = summary.failure_domain
        own_report = state.is_relay and domain == state.core.failure_domain
        if not own_report:
            since_ms = sent_ms - summary.report.age_ms
            reporting.note_report(state, domain, summary.report, since_ms)
        if summary.vote_age_ms is None:
            continue
        heard = votes.Vote(
            domain, summary.revision, sent_ms - summary.vote_age_ms
        )
        state.core = steps.record_vote(state.core, heard)
