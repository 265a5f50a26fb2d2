"""Dispatches a message to the owner's decision for it."""

from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.owner import accept
from gypsumbridge_decisions.owner import cancel
from gypsumbridge_decisions.owner import catalog_update
from gypsumbridge_decisions.owner import coalescing
from gypsumbridge_decisions.owner import command
from gypsumbridge_decisions.owner import health_timer
from gypsumbridge_decisions.owner import hedge_timer
from gypsumbridge_decisions.owner import hedging
from gypsumbridge_decisions.owner import host_notice_timer
from gypsumbridge_decisions.owner import leaving_handover
from gypsumbridge_decisions.owner import leaving_notices
from gypsumbridge_decisions.owner import reply
from gypsumbridge_decisions.owner import state as states


def handle(
    state: states.OwnerState, message: Any, now_ms: int
) -> list[command.Command]:
    """Update the state for a message and return the resulting commands.

    Both the node's owner task and the in-memory replay call this.
    """
    return coalescing.coalesce(_decide(state, message, now_ms))


def _decide(
    state: states.OwnerState, message: Any, now_ms: int
) -> list[command.Command]:
    match message:
        case messages.EndpointReply():
            return reply.receive_reply(state, message, now_ms)
        case messages.ShardBatch():
            return accept.accept_batch(state, message, now_ms)
        case hedge_timer.HedgeTimer():
            return hedging.hedge(state, message, now_ms)
        case messages.CancelBatch():
            return cancel.cancel_batch(state, message)
        case messages.OwnerCheck():
            return cancel.answer_check(state, message)
        case messages.MutationCall():
            return accept.accept_mutation(state, message, now_ms)
        case messages.EndpointLeaving():
            return leaving_notices.apply_notice(state, message, now_ms)
        case messages.EndpointHealth():
            return leaving_notices.apply_health(state, message, now_ms)
        case health_timer.HealthTimer():
            return leaving_notices.check_health(state, message)
        case host_notice_timer.HostNoticeTimer():
            return leaving_notices.expire_host_notice(state, message, now_ms)
        case messages.HostList():
            return leaving_notices.apply_host_list(state, message, now_ms)
        case messages.MembersChanged():
            return leaving_handover.apply_members(state, message)
        case messages.InFlightQuery():
            count = len(state.batches) + len(state.calls)
            return [messages.InFlightReport('owner', count)]
        case messages.CatalogChanged():
            before = state.catalog
            catalog_update.apply_catalog(state, message.catalog)
            return catalog_update.refuse_undeclared(
                state
            ) + leaving_notices.notify_declared_leaving(
                state, before, message.catalog
            )
        case messages.ServingChanged():
            state.serving = message
        case _:
            raise TypeError(
                f'unexpected message for owner: {type(message).__name__}'
            )
    return []
