"""State transitions of the configuration protocol."""

import dataclasses

from gypsumbridge_decisions.configuration import core as cores
from gypsumbridge_decisions.configuration import quorum
from gypsumbridge_decisions.configuration import vote as votes


def hold_revision(core: cores.Core, revision: int) -> cores.Core:
    """Hold a revision; one below the held revision is ignored."""
    if revision <= core.revision:
        return core
    return check_recovery(dataclasses.replace(core, revision=revision))


def record_confirmation(
    core: cores.Core, revision: int, at_ms: int
) -> cores.Core:
    """Record that the store had no revision above `revision` at `at_ms`.

    It is ignored unless the node holds that revision. It completes recovery
    only if it is later than the node's start: an earlier one may miss a
    revision that the previous run had reported to others.
    """
    if core.revision < revision:
        return core
    return dataclasses.replace(
        core,
        confirmed_ms=max(core.confirmed_ms, at_ms),
        recovered=core.recovered or at_ms > core.started_ms,
    )


def record_proof(core: cores.Core, revision: int, at_ms: int) -> cores.Core:
    """Record another node's proof by a majority's votes at `at_ms`.

    None of the votes was above `revision`, so the proof is valid for any
    node that holds it. It completes recovery under the same condition as
    votes that the node collected itself.
    """
    if core.revision < revision:
        return core
    from_ms = core.started_ms + core.bounds.max_report_age_ms
    return dataclasses.replace(
        core,
        proven_ms=max(core.proven_ms, at_ms),
        recovered=core.recovered or at_ms > from_ms,
    )


def record_vote(core: cores.Core, received: votes.Vote) -> cores.Core:
    """Record a vote.

    Its highest and its lowest revision each replace an older value.
    """
    if received.failure_domain not in core.failure_domains:
        return core
    current = quorum.find_vote(core, received.failure_domain)
    merged = current
    if received.at_ms > current.at_ms:
        merged = dataclasses.replace(
            merged, revision=received.revision, at_ms=received.at_ms
        )
    if received.lowest_at_ms > current.lowest_at_ms:
        merged = dataclasses.replace(
            merged, lowest=received.lowest, lowest_at_ms=received.lowest_at_ms
        )
    if merged == current:
        return core
    others = [
        v for v in core.votes if v.failure_domain != received.failure_domain
    ]
    kept = sorted([*others, merged], key=lambda v: v.failure_domain)
    return check_recovery(dataclasses.replace(core, votes=tuple(kept)))


def check_recovery(core: cores.Core) -> cores.Core:
    """Complete recovery once a majority holds no higher revision.

    The votes must be later than `max_report_age_ms` after the start: by
    then no acceptance can rely on a report of this node's previous run.
    """
    if core.recovered:
        return core
    from_ms = core.started_ms + core.bounds.max_report_age_ms
    agreeing = [
        v
        for v in core.votes
        if v.at_ms > from_ms and v.revision <= core.revision
    ]
    if len(agreeing) < cores.majority_size(core):
        return core
    return dataclasses.replace(core, recovered=True)
