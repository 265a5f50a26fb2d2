"""Steps of one node in the configuration model.

Their results are cached, since the same few nodes occur in many states.
"""

import dataclasses
import functools

from gypsumbridge_decisions import configuration
from gypsumbridge_standins.models import configuration_reply
from gypsumbridge_standins.models import configuration_rules as all_rules

NEVER_MS = configuration.NEVER_MS


@functools.cache
def make_reply(core: configuration.Core) -> configuration_reply.Reply:
    """Return a node's reply to a pull now."""
    age_ms = None
    if core.confirmed_ms != NEVER_MS:
        age_ms = -core.confirmed_ms
    at_ms = 0 if core.recovered else NEVER_MS
    vote = configuration.Vote(core.failure_domain, core.revision, at_ms)
    return configuration_reply.Reply(0, core.revision, age_ms, vote)


@functools.cache
def record_report(
    observer: configuration.Core, core: configuration.Core
) -> configuration.Core:
    """Apply the report that a failure domain has its node's revision."""
    report = configuration.Vote(
        core.failure_domain, lowest=core.revision, lowest_at_ms=0
    )
    return normalize_core(configuration.record_vote(observer, report))


@functools.cache
def receive(
    rules: all_rules.Rules,
    before: configuration.Core,
    reply: configuration_reply.Reply,
) -> configuration.Core:
    """Apply a reply at a node, as of the time of the request."""
    core = rules.hold_revision(before, reply.revision)
    if reply.confirmed_age_ms is not None:
        at_ms = reply.sent_ms - reply.confirmed_age_ms
        core = rules.record_confirmation(core, reply.revision, at_ms)
    if reply.vote is not None:
        received_vote = dataclasses.replace(
            reply.vote,
            at_ms=max(reply.vote.at_ms + reply.sent_ms, NEVER_MS),
        )
        core = configuration.record_vote(core, received_vote)
    after = normalize_core(core)
    return before if after == before else after


@functools.cache
def age_core(core: configuration.Core) -> configuration.Core:
    """Move the times of a node one tick into the past."""
    aged = tuple(
        dataclasses.replace(
            vote,
            at_ms=max(vote.at_ms - 1, NEVER_MS),
            lowest_at_ms=max(vote.lowest_at_ms - 1, NEVER_MS),
        )
        for vote in core.votes
    )
    return normalize_core(
        dataclasses.replace(
            core,
            started_ms=max(core.started_ms - 1, NEVER_MS),
            confirmed_ms=max(core.confirmed_ms - 1, NEVER_MS),
            votes=aged,
        )
    )


@functools.cache
def normalize_core(core: configuration.Core) -> configuration.Core:
    """Drop what no longer has an effect, to reduce the number of states.

    A vote's revision never exceeds the node's own, so only its time
    matters. A starting node drops votes older than `proof_lifetime_ms +
    max_report_age_ms`, which only delays its recovery.
    """
    proof_lifetime_ms = core.bounds.proof_lifetime_ms
    max_report_age_ms = core.bounds.max_report_age_ms
    keep_ms = (
        proof_lifetime_ms
        if core.recovered
        else proof_lifetime_ms + max_report_age_ms
    )
    kept = []
    for vote in core.votes:
        at_ms = vote.at_ms
        is_early = (
            not core.recovered and at_ms <= core.started_ms + max_report_age_ms
        )
        # A vote has no effect after a later confirmation by the store.
        is_redundant = core.recovered and at_ms <= core.confirmed_ms
        if at_ms <= -keep_ms or is_early or is_redundant:
            at_ms = NEVER_MS
        lowest, lowest_at_ms = vote.lowest, vote.lowest_at_ms
        if lowest_at_ms < -max_report_age_ms or not lowest:
            lowest, lowest_at_ms = 0, NEVER_MS
        if max(at_ms, lowest_at_ms) == NEVER_MS:
            continue
        kept.append(
            configuration.Vote(
                vote.failure_domain, 0, at_ms, lowest, lowest_at_ms
            )
        )
    confirmed_ms = core.confirmed_ms
    if confirmed_ms <= -proof_lifetime_ms:
        confirmed_ms = NEVER_MS
    # The start time has no effect on a recovered node.
    started_ms = NEVER_MS
    if not core.recovered:
        oldest_ms = -proof_lifetime_ms - 2 * max_report_age_ms
        started_ms = max(core.started_ms, oldest_ms)
    return dataclasses.replace(
        core,
        started_ms=started_ms,
        confirmed_ms=confirmed_ms,
        votes=tuple(kept),
    )
