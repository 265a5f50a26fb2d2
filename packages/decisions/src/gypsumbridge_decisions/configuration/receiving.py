"""Applies replies to pulls."""

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions.configuration import command
from gypsumbridge_decisions.configuration import publish
from gypsumbridge_decisions.configuration import pulling
from gypsumbridge_decisions.configuration import staged as staged_types
from gypsumbridge_decisions.configuration import state as states
from gypsumbridge_decisions.configuration import steps
from gypsumbridge_decisions.configuration import summaries
from gypsumbridge_decisions.configuration import vote as votes


def receive(
    state: states.ConfigurationState,
    reply: messages.ConfigState,
    now_ms: int,
) -> list[command.Command]:
    """Apply what a reply has and pull its next part if there is one.

    A reply is used only for the last pull to its sender, whose time is
    known; its ages count back from that time.
    """
    waiting = state.pulls.get(reply.sender)
    if waiting is None or waiting.token != reply.token:
        return [messages.Count('configuration.replies.late')]
    del state.pulls[reply.sender]
    state.stamps[reply.sender] = reply.stamp_ms
    state.target = max(state.target, reply.revision)
    commands = take_items(state, reply)
    sent_ms = waiting.sent_ms
    core = state.core
    if reply.confirmed_age_ms is not None:
        at_ms = sent_ms - reply.confirmed_age_ms
        core = steps.record_confirmation(core, reply.revision, at_ms)
    if reply.proof_age_ms is not None:
        at_ms = sent_ms - reply.proof_age_ms
        core = steps.prove(core, reply.revision, at_ms)
    if reply.recovered:
        vote = votes.Vote(reply.failure_domain, reply.revision, sent_ms)
        core = steps.record_vote(core, vote)
    state.core = core
    summaries.hear_summaries(state, reply.summaries, sent_ms)
    if reply.more:
        commands += pulling.pull(state, reply.sender, now_ms)
    return commands


def take_items(
    state: states.ConfigurationState, reply: messages.ConfigState
) -> list[command.Command]:
    """Apply the changes or the part of a snapshot in a reply."""
    if reply.items_revision <= state.core.revision:
        return []
    if not reply.snapshot:
        return take_changes(state, reply.items, reply.items_revision)
    staged = state.staged
    items = reply.items
    if staged is not None and staged.revision == reply.items_revision:
        known = {item.key for item in staged.items}
        fresh = tuple(item for item in items if item.key not in known)
        items = staged.items + fresh
    state.staged = staged_types.Staged(reply.items_revision, items)
    if reply.more:
        return []
    return take_snapshot(state, items, reply.items_revision)


def take_changes(
    state: states.ConfigurationState,
    items: tuple[messages.StoreItem, ...],
    revision: int,
) -> list[command.Command]:
    """Apply changes in their order and hold a higher revision."""
    held = state.core.revision
    if revision <= held:
        return []
    newer = tuple(item for item in items if item.revision > held)
    state.contents.change(newer)
    return put_in_force(state, publish.Publish(revision, newer, False))


def take_snapshot(
    state: states.ConfigurationState,
    items: tuple[messages.StoreItem, ...],
    revision: int,
) -> list[command.Command]:
    """Replace everything by a snapshot of a higher revision."""
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
            f'revision {published.revision} would replace {held}',
            'report it with the decision log',
        )
    state.core = steps.hold_revision(state.core, published.revision)
    state.target = max(state.target, published.revision)
    state.staged = None
    return [published]
