"""Steps of the configuration protocol; each returns the new state."""

import dataclasses

from gypsumbridge_decisions.configuration import core as cores
from gypsumbridge_decisions.configuration import judge
from gypsumbridge_decisions.configuration import vote as votes


def hold_revision(core: cores.Core, revision: int) -> cores.Core:
    """Hold a revision; a lower one than the held one changes nothing."""
    if revision <= core.revision:
        return core
    return recover(dataclasses.replace(core, revision=revision))


def record_confirmation(
    core: cores.Core, revision: int, at_ms: int
) -> cores.Core:
    """Note that the store had no revision above `revision` at `at_ms`.

    It counts only for a node that holds that revision. It ends the start
    only if it is later than the start: an earlier one may miss what the
    node's last run had reported to others.
    """
    if core.revision < revision:
        return core
    return dataclasses.replace(
        core,
        confirmed_ms=max(core.confirmed_ms, at_ms),
        recovered=core.recovered or at_ms > core.started_ms,
    )


def prove(core: cores.Core, revision: int, at_ms: int) -> cores.Core:
    """Note that another node had a majority's votes since `at_ms`.

    The votes were for nothing above `revision`, so they serve any node
    that holds it. They end the start under the same condition as votes
    that the node collected.
    """
    if core.revision < revision:
        return core
    from_ms = core.started_ms + core.bounds.max_report_age_ms
    return dataclasses.replace(
        core,
        proven_ms=max(core.proven_ms, at_ms),
        recovered=core.recovered or at_ms > from_ms,
    )


def record_vote(core: cores.Core, heard: votes.Vote) -> cores.Core:
    """Note what a failure domain holds; each half replaces an older one."""
    if heard.failure_domain not in core.failure_domains:
        return core
    known = judge.find_vote(core, heard.failure_domain)
    merged = known
    if heard.at_ms > known.at_ms:
        merged = dataclasses.replace(
            merged, revision=heard.revision, at_ms=heard.at_ms
        )
    if heard.lowest_at_ms > known.lowest_at_ms:
        merged = dataclasses.replace(
            merged, lowest=heard.lowest, lowest_at_ms=heard.lowest_at_ms
        )
    if merged == known:
        return core
    others = [
        v for v in core.votes if v.failure_domain != heard.failure_domain
    ]
    kept = sorted([*others, merged], key=lambda v: v.failure_domain)
    return recover(dataclasses.replace(core, votes=tuple(kept)))


def recover(core: cores.Core) -> cores.Core:
    """End the start once a majority's votes show nothing higher.

    The votes must be later than `max_report_age_ms` after the start: by then
    every acceptance that counted this node's earlier run has ended.
    """
    if core.recovered:
        return core
    from_ms = core.started_ms + core.bounds.max_report_age_ms
    agreeing = [
        v
        for v in core.votes
        if v.at_ms > from_ms and v.revision <= core.revision
    ]
    if len(agreeing) < cores.majority(core):
        return core
    return dataclasses.replace(core, recovered=True)
