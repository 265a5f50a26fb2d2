"""Replies to the pulls of other nodes."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.configuration import child_report
from gypsumbridge_decisions.configuration import command
from gypsumbridge_decisions.configuration import contents
from gypsumbridge_decisions.configuration import quorum
from gypsumbridge_decisions.configuration import reporting
from gypsumbridge_decisions.configuration import state as states
from gypsumbridge_decisions.configuration import summaries
from gypsumbridge_decisions.configuration import vote as votes


def handle_pull(
    state: states.ConfigurationState,
    pull: messages.ConfigPull,
    now_ms: int,
) -> list[command.Command]:
    """Record the sender's report and send it the changes it lacks."""
    if pull.failure_domain == state.core.failure_domain:
        record_child_report(state, pull, now_ms)
    reporting.update_own_domain(state, now_ms)
    core = state.core
    items: contents.Items = ()
    items_revision, more, snapshot = core.revision, False, False
    if pull.revision < core.revision:
        if pull.revision >= state.contents.history_start:
            items, more = contents.changes_after(state.contents, pull.revision)
            if more:
                items_revision = items[-1].revision
        else:
            snapshot = True
            same = pull.snapshot_revision == core.revision
            after_key = pull.after_key if same else ''
            items, more = contents.snapshot_after(state.contents, after_key)
    found: tuple[messages.DomainSummary, ...] = ()
    if pull.digest != summaries.summaries_digest(state):
        found = summaries.make_summaries(state, now_ms)
    message = messages.ConfigState(
        sender=state.node_id,
        failure_domain=core.failure_domain,
        token=pull.token,
        revision=core.revision,
        recovered=core.recovered,
        confirmed_age_ms=_age_ms(core.confirmed_ms, now_ms),
        proof_age_ms=_age_ms(quorum.latest_proof_ms(core, now_ms), now_ms),
        stamp_ms=now_ms,
        items=items,
        items_revision=items_revision,
        snapshot=snapshot,
        more=more,
        summaries=found,
    )
    return [messages.ToPeer(pull.sender, message)]


def record_child_report(
    state: states.ConfigurationState,
    pull: messages.ConfigPull,
    now_ms: int,
) -> None:
    """Record the report of a child in the pull tree.

    A pull may stay in a socket buffer for long while this node is paused.
    The report is only known to be later than this node's stamp that the
    sender returns; a stamp from before this node's start is not used.
    """
    since_ms = votes.NEVER_MS
    stamp_ms = pull.stamp_ms
    if stamp_ms is not None and state.core.started_ms <= stamp_ms <= now_ms:
        since_ms = stamp_ms - pull.report.age_ms
    state.children[pull.sender] = child_report.ChildReport(
        pull.report, since_ms, now_ms
    )
    state.target = max(state.target, pull.revision)


def _age_ms(at_ms: int, now_ms: int) -> int | None:
    return None if at_ms == votes.NEVER_MS else now_ms - at_ms
