"""Answers to the polls of other nodes."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.relaying import answer_poll
from gypsumbridge_decisions.relaying import poll_arrived
from gypsumbridge_decisions.relaying import poll_timer
from gypsumbridge_decisions.relaying import relay_state
from gypsumbridge_decisions.relaying import relayed_updates
from gypsumbridge_decisions.relaying import store_record
from gypsumbridge_decisions.relaying import update_status

ServingCommand = (
    answer_poll.AnswerPoll
    | messages.Timer
    | messages.Decision
    | messages.Count
)


def receive(
    state: relay_state.RelayState,
    poll: poll_arrived.PollArrived,
    status: update_status.UpdateStatus,
) -> list[ServingCommand]:
    """Answer at once if there are updates or the status is not current.

    Any other poll waits for the next change, the confirmation of this
    node's copy or its timeout. A poll of a newer era is answered at once,
    since this node is behind.
    """
    state.polls[poll.poll_id] = poll
    era = status.era if poll.era is None else poll.era
    if era > status.era:
        fields = {'era': status.era, 'polled_from': era}
        return [
            messages.Decision('relay_behind', 'newer_era', fields),
            messages.Count('relay.polls_of_newer_era'),
            answer(state, poll.poll_id, status),
        ]
    behind = (era, poll.after_revision) < (status.era, status.revision)
    outdated = behind or not status.in_touch
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
    """Return the records after a poll's position, and remove the poll.

    A poll of an older era gets all records, deletions and retained records
    of older eras included. It gets none while this node has not listed the
    new era yet, or if the poll's era is the newer one.
    """
    poll = state.polls.pop(poll_id)
    era = status.era if poll.era is None else poll.era
    in_touch = status.in_touch and era <= status.era
    complete = False
    records: tuple[store_record.StoreRecord, ...] = ()
    if state.log.era == status.era and era <= status.era:
        complete = era < status.era or not state.log.is_complete_after(
            poll.after_revision
        )
        if not complete:
            records = state.log.after(poll.after_revision)
        elif poll.era is None:
            records = state.log.present()
        else:
            records = tuple(state.log.records.values())
    return answer_poll.AnswerPoll(
        poll_id,
        relayed_updates.RelayedUpdates(
            status.revision,
            records,
            complete,
            in_touch,
            status.age_ms,
            era=status.era,
        ),
        status.proven_ms,
    )
