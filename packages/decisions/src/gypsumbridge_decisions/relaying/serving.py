"""Answers to nodes that ask for news."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.relaying import answer_poll
from gypsumbridge_decisions.relaying import poll_arrived
from gypsumbridge_decisions.relaying import poll_timer
from gypsumbridge_decisions.relaying import relay_state
from gypsumbridge_decisions.relaying import relayed_news

Served = answer_poll.AnswerPoll | messages.Timer


def receive(
    state: relay_state.RelayState,
    poll: poll_arrived.PollArrived,
    revision: int,
    in_touch: bool,
) -> list[Served]:
    """Answer at once if there is something to tell, or let the node wait."""
    state.polls[poll.poll_id] = poll.after_revision
    if revision > poll.after_revision or not in_touch:
        return [answer(state, poll.poll_id, revision, in_touch)]
    timer = poll_timer.PollTimer(poll.poll_id)
    return [messages.Timer(poll.wait_ms, timer)]


def answer_waiting(
    state: relay_state.RelayState, revision: int, in_touch: bool
) -> list[Served]:
    """Answer the nodes for which there is something to tell now."""
    due = [
        poll_id
        for poll_id, after_revision in state.polls.items()
        if revision > after_revision or not in_touch
    ]
    return [answer(state, poll_id, revision, in_touch) for poll_id in due]


def expire(
    state: relay_state.RelayState, poll_id: int, revision: int, in_touch: bool
) -> list[Served]:
    """Answer a node whose time is up, if it still waits."""
    if poll_id not in state.polls:
        return []
    return [answer(state, poll_id, revision, in_touch)]


def answer(
    state: relay_state.RelayState, poll_id: int, revision: int, in_touch: bool
) -> answer_poll.AnswerPoll:
    """Return what a waiting node does not know yet, and forget its poll."""
    after_revision = state.polls.pop(poll_id)
    complete = not state.log.is_complete_after(after_revision)
    if complete:
        records = state.log.present()
    else:
        records = state.log.after(after_revision)
    return answer_poll.AnswerPoll(
        poll_id,
        relayed_news.RelayedNews(revision, records, complete, in_touch),
    )
