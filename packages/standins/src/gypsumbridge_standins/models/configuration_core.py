"""Steps of one node in the configuration model.

They are cached: the search meets the same few nodes in many states.
"""

import dataclasses
import functools

from gypsumbridge_decisions import configuration
from gypsumbridge_standins.models import configuration_reply
from gypsumbridge_standins.models import configuration_rules as all_rules

NEVER_MS = configuration.NEVER_MS


@functools.cache
def make_reply(core: configuration.Core) -> configuration_reply.Reply:
    """Return what a node answers to a pull now."""
    age_ms = None
    if core.confirmed_ms != NEVER_MS:
        age_ms = -core.confirmed_ms
    at_ms = 0 if core.recovered else NEVER_MS
    vote = configuration.Vote(core.failure_domain, core.revision, at_ms)
    return configuration_reply.Reply(0, core.revision, age_ms, vote)


@functools.cache
def hear_report(
    observer: configuration.Core, core: configuration.Core
) -> configuration.Core:
    """Apply the report that a failure domain holds its node's revision."""
    report = configuration.Vote(
        core.failure_domain, lowest=core.revision, lowest_at_ms=0
    )
    return forget(configuration.record_vote(observer, report))


@functools.cache
def receive(
    rules: all_rules.Rules,
    before: configuration.Core,
    reply: configuration_reply.Reply,
) -> configuration.Core:
    """Apply a reply at a node, by the time at which it was asked for."""
    core = rules.hold(before, reply.revision)
    if reply.confirmed_age_ms is not None:
        at_ms = reply.sent_ms - reply.confirmed_age_ms
        core = rules.confirm(core, reply.revision, at_ms)
    if reply.vote is not None:
        heard = dataclasses.replace(
            reply.vote,
            at_ms=max(reply.vote.at_ms + reply.sent_ms, NEVER_MS),
        )
        core = configuration.record_vote(core, heard)
    after = forget(core)
    return before if after == before else after


@functools.cache
def age_core(core: configuration.Core) -> configuration.Core:
    """Age the times of a node by one tick."""
    aged = tuple(
        dataclasses.replace(
            vote,
            at_ms=max(vote.at_ms - 1, NEVER_MS),
            lowest_at_ms=max(vote.lowest_at_ms - 1, NEVER_MS),
        )
        for vote in core.votes
    )
    return forget(
        dataclasses.replace(
            core,
            started_ms=max(core.started_ms - 1, NEVER_MS),
            confirmed_ms=max(core.confirmed_ms - 1, NEVER_MS),
            votes=aged,
        )
    )


@functools.cache
def forget(core: configuration.Core) -> configuration.Core:
    """Drop what has no effect any more, so that there are fewer states.

    A vote's revision is at most the held one when it is heard and stays
    so, hence only its time matters. A node in its start forgets votes
    after `fresh_ms + evidence_ms`, which only delays its recovery.
    """
    fresh_ms = core.bounds.proof_lifetime_ms
    evidence_ms = core.bounds.max_report_age_ms
    keep_ms = fresh_ms if core.recovered else fresh_ms + evidence_ms
    kept = []
    for vote in core.votes:
        at_ms = vote.at_ms
        early = not core.recovered and at_ms <= core.started_ms + evidence_ms
        # A vote adds nothing to a later confirmation by the store.
        needless = core.recovered and at_ms <= core.confirmed_ms
        if at_ms <= -keep_ms or early or needless:
            at_ms = NEVER_MS
        lowest, lowest_at_ms = vote.lowest, vote.lowest_at_ms
        if lowest_at_ms < -evidence_ms or not lowest:
            lowest, lowest_at_ms = 0, NEVER_MS
        if max(at_ms, lowest_at_ms) == NEVER_MS:
            continue
        kept.append(
            configuration.Vote(
                vote.failure_domain, 0, at_ms, lowest, lowest_at_ms
            )
        )
    confirmed_ms = core.confirmed_ms
    if confirmed_ms <= -fresh_ms:
        confirmed_ms = NEVER_MS
    # The start has no effect on a recovered node.
    started_ms = NEVER_MS
    if not core.recovered:
        oldest_ms = -fresh_ms - 2 * evidence_ms
        started_ms = max(core.started_ms, oldest_ms)
    return dataclasses.replace(
        core,
        started_ms=started_ms,
        confirmed_ms=confirmed_ms,
        votes=tuple(kept),
    )
