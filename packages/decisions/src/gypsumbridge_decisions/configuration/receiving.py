"""Applies the replies to pulls."""

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions.configuration import command
from gypsumbridge_decisions.configuration import publish
from gypsumbridge_decisions.configuration import pulling
from gypsumbridge_decisions.configuration import (
    staged_snapshot as staged_snapshots,
)
from gypsumbridge_decisions.configuration import state as states
from gypsumbridge_decisions.configuration import steps
from gypsumbridge_decisions.configuration import summaries
from gypsumbridge_decisions.configuration import vote as votes


def handle_reply(
    state: states.ConfigurationState,
    reply: messages.ConfigState,
    now_ms: int,
) -> list[command.Command]:
    """Apply a reply and pull the next chunk if there is one.

    Only the reply to the last pull from its sender is used. Its ages are
    subtracted from the time at which that pull was sent.
    """
    pending = state.pulls.get(reply.sender)
    if pending is None or pending.token != reply.token:
        return [messages.Count('configuration.replies.late')]
    del state.pulls[reply.sender]
    state.stamps[reply.sender] = reply.stamp_ms
    state.target = max(state.target, reply.revision)
    commands = apply_items(state, reply)
    sent_ms = pending.sent_ms
    core = state.core
    if reply.confirmed_age_ms is not None:
        at_ms = sent_ms - reply.confirmed_age_ms
        core = steps.record_confirmation(core, reply.revision, at_ms)
    if reply.proof_age_ms is not None:
        at_ms = sent_ms - reply.proof_age_ms
        core = steps.record_proof(core, reply.revision, at_ms)
    if reply.recovered:
        vote = votes.Vote(reply.failure_domain, reply.revision, sent_ms)
        core = steps.record_vote(core, vote)
    state.core = core
    summaries.apply_summaries(state, reply.summaries, sent_ms)
    if reply.more:
        commands += pulling.pull(state, reply.sender, now_ms)
    return commands


def apply_items(
    state: states.ConfigurationState, reply: messages.ConfigState
) -> list[command.Command]:
    """Apply the changes or the snapshot chunk in a reply."""
    if reply.items_revision <= state.core.revision:
        return []
    if not reply.snapshot:
        return apply_changes(state, reply.items, reply.items_revision)
    staged = state.staged
    items = reply.items
    if staged is not None and staged.revision == reply.items_revision:
        staged_keys = {item.key for item in staged.items}
        fresh = tuple(item for item in items if item.key not in staged_keys)
        items = staged.items + fresh
    state.staged = staged_snapshots.StagedSnapshot(reply.items_revision, items)
    if reply.more:
        return []
    return apply_snapshot(state, items, reply.items_revision)


def apply_changes(
    state: states.ConfigurationState,
    items: tuple[messages.StoreItem, ...],
    revision: int,
) -> list[command.Command]:
    """Apply ordered changes up to a higher revision."""
    held = state.core.revision
    if revision <= held:
        return []
    newer = tuple(item for item in items if item.revision > held)
    state.contents.apply_changes(newer)
    return put_in_force(state, publish.Publish(revision, newer, False))


def apply_snapshot(
    state: states.ConfigurationState,
    items: tuple[messages.StoreItem, ...],
    revision: int,
) -> list[command.Command]:
    """Replace all items by the snapshot of a higher revision."""
    if revision <= state.core.revision:
        return []
    state.contents.replace(items, revision)
    return put_in_force(state, publish.Publish(revision, items, True))


def put_in_force(
    state: states.ConfigurationState, published: publish.Publish
) -> list[command.Command]:
    """Hold a revision and put it into force on this node.

    Raises InvariantError unless the revision is above the held one.
    """
    held = state.core.revision
    if published.revision <= held:
        raise errors.InvariantError(
            f'revision {published.revision} would replace revision {held}',
            'report it with the decision log',
        )
    state.core = steps.hold_revision(state.core, published.revision)
    state.target = max(state.target, published.revision)
    state.staged = None
    return [published]
