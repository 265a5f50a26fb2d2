"""Answers questions about a stored change."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.configuration import acceptance_timeout
from gypsumbridge_decisions.configuration import command
from gypsumbridge_decisions.configuration import judge
from gypsumbridge_decisions.configuration import reporting
from gypsumbridge_decisions.configuration import state as states
from gypsumbridge_decisions.configuration import waiting_ask


def await_accepted(
    state: states.ConfigurationState,
    request: messages.AwaitAccepted,
    now_ms: int,
) -> list[command.Command]:
    """Answer once the change is accepted, or after its time limit."""
    state.asks[request.token] = waiting_ask.WaitingAsk(
        request, now_ms + request.wait_ms
    )
    expired = acceptance_timeout.AcceptanceTimeout(request.token)
    timer = messages.Timer(request.wait_ms, expired)
    return [timer, *answer_waiting(state, now_ms)]


def answer_waiting(
    state: states.ConfigurationState, now_ms: int
) -> list[command.Command]:
    """Answer every question that has its answer or reached its limit."""
    commands: list[command.Command] = []
    for token, waiting in list(state.asks.items()):
        revision = waiting.request.revision
        holding = judge.holding_domains(state.core, revision, now_ms)
        accepted = judge.is_accepted(state.core, holding)
        if not accepted and now_ms < waiting.until_ms:
            continue
        del state.asks[token]
        commands.append(
            messages.AcceptedReport(token, revision, accepted, holding)
        )
    return commands


def report_force(
    state: states.ConfigurationState, request: messages.ForceQuery
) -> list[command.Command]:
    """Count the live nodes that may not have applied a revision."""
    live = lagging = 0
    for domain, order in state.orders.items():
        known = state.reports.get(domain)
        counted = known.report.nodes if known else 0
        live += max(counted, len(order))
        lagging += max(len(order) - counted, 0)
        if known:
            lagging += reporting.lagging_nodes(known.report, request.revision)
    return [
        messages.ForceReport(
            request.token,
            request.revision,
            live > 0 and not lagging,
            lagging,
            live,
        )
    ]
