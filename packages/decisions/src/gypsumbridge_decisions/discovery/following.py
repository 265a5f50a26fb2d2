"""News that come from another node in place of the store."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import command
from gypsumbridge_decisions.discovery import state as states
from gypsumbridge_decisions.discovery import store_changed
from gypsumbridge_decisions.discovery import store_listed
from gypsumbridge_decisions.discovery import syncing


def take_news(
    state: states.DiscoveryState,
    answered: relaying.PeerAnswered,
    now_ms: int,
) -> list[command.Command]:
    """Apply a peer's news and ask again, elsewhere if it has none."""
    news = answered.news
    commands: list[command.Command] = []
    if news.in_touch:
        relaying.clear(state.relay, answered.node_id)
        confirmed_ms = max(state.confirmed_ms, now_ms - news.age_ms)
        commands += syncing.regain(state, confirmed_ms)
    else:
        miss(state)
        relaying.set_aside(state.relay, answered.node_id, now_ms)
        fields: dict[str, str | int | float] = {
            'peer': answered.node_id,
            'revision': news.revision,
        }
        commands.append(
            messages.Decision('peer_excluded', 'out_of_touch', fields)
        )
    if news.revision > state.revision:
        commands += apply_news(state, news, now_ms)
    elif news.in_touch:
        if news.complete:
            # Nothing newer is known, so what is known here is up to date.
            state.list_needed = False
        status = state.status(now_ms)
        commands += relaying.answer_waiting(state.relay, status)
    if news.in_touch:
        syncing.catch_up(state)
    return [*commands, *syncing.resume(state, now_ms)]


def miss(state: states.DiscoveryState) -> None:
    """Note that news may have been missed since the last ones."""
    if state.missed_since_ms is None:
        state.missed_since_ms = state.confirmed_ms


def apply_news(
    state: states.DiscoveryState, news: relaying.RelayedUpdates, now_ms: int
) -> list[command.Command]:
    """Apply news that are newer than what is known."""
    if news.complete:
        listed = store_listed.StoreListed(news.revision, news.records)
        return syncing.apply_list(state, listed, now_ms)
    changed = store_changed.StoreChanged(news.revision, news.records)
    return syncing.apply_changes(state, changed, now_ms)


def lose_peer(
    state: states.DiscoveryState, failed: relaying.PeerFailed, now_ms: int
) -> list[command.Command]:
    """Leave a peer out for a while and ask elsewhere at once."""
    miss(state)
    relaying.bar(state.relay, failed.node_id, now_ms)
    fields: dict[str, str | int | float] = {
        'peer': failed.node_id,
        'failures': state.relay.failures[failed.node_id],
        'revision': state.revision,
    }
    return [
        messages.Decision('peer_lost', failed.reason, fields),
        messages.Count('discovery.peers_lost'),
        *syncing.resume(state, now_ms),
    ]
