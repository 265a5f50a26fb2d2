"""A relay's calls to the store."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.configuration import command
from gypsumbridge_decisions.configuration import receiving
from gypsumbridge_decisions.configuration import state as states
from gypsumbridge_decisions.configuration import steps

LIST_TOKEN = 'list'
POLL_TOKEN = 'poll'
WATCH_TOKEN = 'watch'
WATCH_TIMEOUT_MS = 10_000
CONFIG_PREFIX = 'config/'


def call_store(
    state: states.ConfigurationState, now_ms: int
) -> list[command.Command]:
    """List first; then poll on each tick, besides one long watch.

    The poll is a watch without waiting. It returns the store's revision
    together with the changes up to it: the revision alone does not
    distinguish a change of the configuration from a mutation claim.
    """
    if not state.is_relay:
        return []
    if state.store_revision is None:
        return _call(state, LIST_TOKEN, now_ms)
    commands = _call(state, POLL_TOKEN, now_ms)
    if state.store_available:
        commands += _call(state, WATCH_TOKEN, now_ms)
    return commands


def receive_store_reply(
    state: states.ConfigurationState,
    reply: messages.StoreReply,
    now_ms: int,
) -> list[command.Command]:
    """Apply the store's reply and record the confirmation it gives."""
    sent_ms = state.store_calls.pop(reply.token, None)
    if sent_ms is None:
        return []
    state.store_available = reply.status == messages.StoreStatus.OK
    if reply.status == messages.StoreStatus.COMPACTED:
        state.store_revision = None
        return _call(state, LIST_TOKEN, now_ms)
    if not state.store_available:
        return []
    if reply.token == LIST_TOKEN:
        commands = receiving.apply_snapshot(state, reply.items, reply.revision)
    else:
        commands = apply_events(state, reply)
    state.store_revision = max(state.store_revision or 0, reply.revision)
    # All changes up to the reply's revision are now applied. The held
    # revision is that of the last change of the configuration, which may be
    # lower.
    state.core = steps.record_confirmation(
        state.core, state.core.revision, sent_ms
    )
    if reply.token == WATCH_TOKEN and state.is_relay:
        commands += _call(state, WATCH_TOKEN, now_ms)
    return commands


def apply_events(
    state: states.ConfigurationState, reply: messages.StoreReply
) -> list[command.Command]:
    """Apply the events of a watch or a poll."""
    if not reply.items:
        return []
    revision = max(item.revision for item in reply.items)
    return receiving.apply_changes(state, reply.items, revision)


def _call(
    state: states.ConfigurationState, token: str, now_ms: int
) -> list[command.Command]:
    if token in state.store_calls:
        return []
    state.store_calls[token] = now_ms
    operation = messages.StoreOperation.WATCH
    if token == LIST_TOKEN:
        operation = messages.StoreOperation.LIST
    return [
        messages.StoreRequest(
            token,
            operation,
            CONFIG_PREFIX,
            after_revision=state.store_revision or 0,
            wait_ms=WATCH_TIMEOUT_MS if token == WATCH_TOKEN else 0,
        )
    ]
