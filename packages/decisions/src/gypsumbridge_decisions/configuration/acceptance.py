"""Reports whether a stored change is accepted or in force."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.configuration import acceptance_timeout
from gypsumbridge_decisions.configuration import acceptance_wait
from gypsumbridge_decisions.configuration import command
from gypsumbridge_decisions.configuration import quorum
from gypsumbridge_decisions.configuration import reporting
from gypsumbridge_decisions.configuration import state as states


def await_accepted(
    state: states.ConfigurationState,
    request: messages.AwaitAccepted,
    now_ms: int,
) -> list[command.Command]:
    """Reply once the change is accepted, or after the requested time."""
    state.acceptance_waits[request.token] = acceptance_wait.AcceptanceWait(
        request, now_ms + request.wait_ms
    )
    expired = acceptance_timeout.AcceptanceTimeout(request.token)
    timer = messages.Timer(request.wait_ms, expired)
    return [timer, *complete_waits(state, now_ms)]


def complete_waits(
    state: states.ConfigurationState, now_ms: int
) -> list[command.Command]:
    """Reply to the requests that are accepted or have timed out."""
    commands: list[command.Command] = []
    for token, wait in list(state.acceptance_waits.items()):
        revision = wait.request.revision
        holding = quorum.holding_domains(state.core, revision, now_ms)
        accepted = quorum.is_accepted(state.core, holding)
        if not accepted and now_ms < wait.expires_at_ms:
            continue
        del state.acceptance_waits[token]
        commands.append(
            messages.AcceptedReport(token, revision, accepted, holding)
        )
    return commands


def report_in_force(
    state: states.ConfigurationState, request: messages.ForceQuery
) -> list[command.Command]:
    """Count the live nodes that may not have applied a revision.

    Live nodes that no report covers count as lagging.
    """
    live = lagging = 0
    for domain, order in state.orders.items():
        domain_report = state.reports.get(domain)
        counted = domain_report.report.nodes if domain_report else 0
        live += max(counted, len(order))
        lagging += max(len(order) - counted, 0)
        if domain_report:
            lagging += reporting.lagging_nodes(
                domain_report.report, request.revision
            )
    return [
        messages.ForceReport(
            request.token,
            request.revision,
            live > 0 and not lagging,
            lagging,
            live,
        )
    ]
