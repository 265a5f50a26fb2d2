"""Answers to nodes that ask for news."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.relaying import answer_poll
from gypsumbridge_decisions.relaying import news_status
from gypsumbridge_decisions.relaying import poll_arrived
from gypsumbridge_decisions.relaying import poll_timer
from gypsumbridge_decisions.relaying import relay_state
from gypsumbridge_decisions.relaying import relayed_updates

Served = answer_poll.AnswerPoll | messages.Timer


def receive(
    state: relay_state.RelayState,
    poll: poll_arrived.PollArrived,
    status: news_status.NewsStatus,
) -> list[Served]:
    """Answer at once if there is something to tell, or let the node wait."""
    state.polls[poll.poll_id] = poll.after_revision
    if status.revision > poll.after_revision or not status.in_touch:
        return [answer(state, poll.poll_id, status)]
    timer = poll_timer.PollTimer(poll.poll_id)
    return [messages.Timer(poll.wait_ms, timer)]


def answer_waiting(
    state: relay_state.RelayState, status: news_status.NewsStatus
) -> list[Served]:
    """Answer all nodes that wait.

    Without changes this tells them that there are none, so that their news
    are as fresh as this node's.
    """
    return [answer(state, poll_id, status) for poll_id in tuple(state.polls)]


def expire(
    state: relay_state.RelayState,
    poll_id: int,
    status: news_status.NewsStatus,
) -> list[Served]:
    """Answer a node whose time is up, if it still waits."""
    if poll_id not in state.polls:
        return []
    return [answer(state, poll_id, status)]


def answer(
    state: relay_state.RelayState,
    poll_id: int,
    status: news_status.NewsStatus,
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
        relayed_updates.RelayedUpdates(
            status.revision, records, complete, status.in_touch, status.age_ms
        ),
    )
