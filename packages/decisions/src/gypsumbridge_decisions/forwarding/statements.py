"""What a searcher states about itself in its answers."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import attempt as attempts
from gypsumbridge_decisions.forwarding import attempt_ended
from gypsumbridge_decisions.forwarding import caller_response
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import delegation as delegations
from gypsumbridge_decisions.forwarding import exchange as exchanges
from gypsumbridge_decisions.forwarding import searcher_health
from gypsumbridge_decisions.forwarding import searcher_statement
from gypsumbridge_decisions.forwarding import state as states

LEAVING = 'leaving'
RETRY_AFTER = 'retry_after'


def record_statements(
    health: searcher_health.SearcherHealth,
    attempt: attempts.Attempt,
    ended: attempt_ended.AttemptEnded,
    exchange: exchanges.Exchange | None,
    now_ms: int,
) -> list[command.Command]:
    """Record that a searcher leaves, or wants no requests for a time.

    The first statement that closes it for this node is logged with the
    request that was answered, which may be complete already.
    """
    if not (ended.leaving or ended.retry_after_ms):
        return []
    stated = searcher_statement.SearcherStatement(
        attempt.searcher.searcher_id, ended.leaving, ended.retry_after_ms
    )
    fields: dict[str, str | int | float] = {
        'service': attempt.service,
        'status': ended.status,
    }
    if exchange is not None:
        fields['request_id'] = exchange.request.request_id
        exchange.statements.append(stated)
    return apply_statement(health, stated, fields, now_ms)


def record_relayed(
    state: states.ForwardingState,
    found: delegations.Delegation,
    response: caller_response.CallerResponse,
    now_ms: int,
) -> list[command.Command]:
    """Record what searchers have stated to a coordinator.

    It is passed on with the response to the node that delegated to this one.
    """
    commands: list[command.Command] = []
    exchange = state.exchanges.get(found.request.call_id)
    for stated in response.statements:
        if exchange is not None:
            exchange.statements.append(stated)
        health = state.health.get(stated.searcher_id)
        if health is None:
            continue
        fields: dict[str, str | int | float] = {
            'request_id': found.request.request_id,
            'coordinator': found.coordinator_id,
        }
        commands += apply_statement(health, stated, fields, now_ms)
    return commands


def apply_statement(
    health: searcher_health.SearcherHealth,
    stated: searcher_statement.SearcherStatement,
    fields: dict[str, str | int | float],
    now_ms: int,
) -> list[command.Command]:
    """Close a searcher for this node, and log it if it was open."""
    was_open = health.is_open(now_ms)
    if stated.closed_for_ms:
        health.record_refusal(stated.closed_for_ms, now_ms)
    if stated.leaving:
        health.leaving = True
    if not was_open:
        return []
    fields['searcher'] = stated.searcher_id
    if not stated.leaving:
        fields['closed_for_ms'] = health.closed_until_ms - now_ms
    reason = LEAVING if stated.leaving else RETRY_AFTER
    return [
        messages.Decision('searcher_closed', reason, fields),
        messages.Count(f'forwarding.searchers_closed.{reason}'),
    ]
