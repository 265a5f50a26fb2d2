"""Judgements on the state of the configuration protocol."""

from collections.abc import Iterable

from gypsumbridge_decisions.configuration import core as cores
from gypsumbridge_decisions.configuration import vote as votes


def find_vote(core: cores.Core, failure_domain: str) -> votes.Vote:
    """Return what is known of a failure domain."""
    for vote in core.votes:
        if vote.failure_domain == failure_domain:
            return vote
    return votes.Vote(failure_domain)


def fresh_until_ms(core: cores.Core, now_ms: int) -> int:
    """Return when the node's proof of freshness ends."""
    return proof_ms(core, now_ms) + core.bounds.proof_lifetime_ms


def proof_ms(core: cores.Core, now_ms: int) -> int:
    """Return the time of the node's latest proof of freshness.

    The proof is a confirmation by the store, or votes of a majority of
    failure domains that hold nothing higher. An accepted revision is held
    by a majority, so the two majorities share a failure domain.
    """
    if not core.recovered:
        return votes.NEVER_MS
    voted_ms = max(core.proven_ms, majority_ms(core, now_ms))
    return max(core.confirmed_ms, voted_ms)


def may_accept_work(core: cores.Core, now_ms: int) -> bool:
    """Say whether the node may take new work now."""
    return now_ms < fresh_until_ms(core, now_ms)


def majority_ms(core: cores.Core, now_ms: int) -> int:
    """Return since when a majority is known to hold nothing higher."""
    times = [
        vote.at_ms
        for vote in core.votes
        if vote.revision <= core.revision
        and vote.failure_domain != core.failure_domain
    ]
    # The node itself votes for its failure domain, at this moment.
    times.append(now_ms)
    times.sort(reverse=True)
    needed = cores.majority(core)
    if len(times) < needed:
        return votes.NEVER_MS
    return times[needed - 1]


def holding_domains(
    core: cores.Core, revision: int, now_ms: int
) -> tuple[str, ...]:
    """Return the failure domains all of whose live nodes hold a revision."""
    oldest_ms = now_ms - core.bounds.max_report_age_ms
    return tuple(
        vote.failure_domain
        for vote in core.votes
        if vote.lowest >= revision and vote.lowest_at_ms >= oldest_ms
    )


def is_accepted(core: cores.Core, holding: Iterable[str]) -> bool:
    """Say whether the failure domains that hold a stored change suffice."""
    return len(set(holding)) >= cores.majority(core)
