"""Answers to the polls of other nodes."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.relaying import answer_poll
from gypsumbridge_decisions.relaying import poll_arrived
from gypsumbridge_decisions.relaying import poll_timer
from gypsumbridge_decisions.relaying import relay_state
from gypsumbridge_decisions.relaying import relayed_updates
from gypsumbridge_decisions.relaying import update_status

ServingCommand = answer_poll.AnswerPoll | messages.Timer


def receive(
    state: relay_state.RelayState,
    poll: poll_arrived.PollArrived,
    status: update_status.UpdateStatus,
) -> list[ServingCommand]:
    """Answer at once if there are updates or the status is not current.

    Any other poll waits for the next change, the confirmation of this
    node's copy or its timeout.
    """
    state.polls[poll.poll_id] = poll.after_revision
    outdated = status.revision > poll.after_revision or not status.in_touch
    if outdated and not status.confirming:
        return [answer(state, poll.poll_id, status)]
    timer = poll_timer.PollTimer(poll.poll_id)
    return [messages.Timer(poll.wait_ms, timer)]


def answer_waiting(
    state: relay_state.RelayState, status: update_status.UpdateStatus
) -> list[ServingCommand]:
    """Answer all waiting polls.

    An answer without changes confirms that there are none, so that the
    other nodes' copies are as fresh as this node's.
    """
    return [answer(state, poll_id, status) for poll_id in tuple(state.polls)]


def expire(
    state: relay_state.RelayState,
    poll_id: int,
    status: update_status.UpdateStatus,
) -> list[ServingCommand]:
    """Answer a poll that has timed out, if it is still waiting."""
    if poll_id not in state.polls:
        return []
    return [answer(state, poll_id, status)]


def answer(
    state: relay_state.RelayState,
    poll_id: int,
    status: update_status.UpdateStatus,
) -> answer_poll.AnswerPoll:
    """Return the records after a poll's revision, and remove the poll."""
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
        status.proven_ms,
    )
