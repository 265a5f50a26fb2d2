"""Freshness and acceptance, evaluated over the votes held."""

from collections.abc import Iterable

from gypsumbridge_decisions.configuration import core as cores
from gypsumbridge_decisions.configuration import vote as votes


def find_vote(core: cores.Core, failure_domain: str) -> votes.Vote:
    """Return the vote of a failure domain, an empty one if it is unknown."""
    for vote in core.votes:
        if vote.failure_domain == failure_domain:
            return vote
    return votes.Vote(failure_domain)


def fresh_until_ms(core: cores.Core, now_ms: int) -> int:
    """Return when the node's proof of freshness expires."""
    return latest_proof_ms(core, now_ms) + core.bounds.proof_lifetime_ms


def latest_proof_ms(core: cores.Core, now_ms: int) -> int:
    """Return the time of the node's latest proof of freshness.

    The proof is a confirmation by the store, or votes of a majority of
    failure domains that hold no higher revision. An accepted revision is
    held by a majority, and any two majorities share a failure domain.
    """
    if not core.recovered:
        return votes.NEVER_MS
    voted_ms = max(core.proven_ms, majority_proof_ms(core, now_ms))
    return max(core.confirmed_ms, voted_ms)


def may_accept_work(core: cores.Core, now_ms: int) -> bool:
    """Return whether the node may accept new work now."""
    return now_ms < fresh_until_ms(core, now_ms)


def majority_proof_ms(core: cores.Core, now_ms: int) -> int:
    """Return the time as of which a majority held no higher revision."""
    times = [
        vote.at_ms
        for vote in core.votes
        if vote.revision <= core.revision
        and vote.failure_domain != core.failure_domain
    ]
    # The node votes for its own failure domain as of now.
    times.append(now_ms)
    times.sort(reverse=True)
    needed = cores.majority_size(core)
    if len(times) < needed:
        return votes.NEVER_MS
    return times[needed - 1]


def holding_domains(
    core: cores.Core, revision: int, now_ms: int
) -> tuple[str, ...]:
    """Return the failure domains whose live nodes all hold a revision."""
    oldest_ms = now_ms - core.bounds.max_report_age_ms
    return tuple(
        vote.failure_domain
        for vote in core.votes
        if vote.lowest >= revision and vote.lowest_at_ms >= oldest_ms
    )


def is_accepted(core: cores.Core, holding: Iterable[str]) -> bool:
    """Return whether the failure domains that hold a change are a majority."""
    return len(set(holding)) >= cores.majority_size(core)
