"""Checks that nothing is sent to a failure domain under evacuation."""

from gypsumbridge_standins.fault_soak import answer_checks
from gypsumbridge_standins.fault_soak import contact
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import outcome as outcomes
from gypsumbridge_standins.fault_soak import run_record
from gypsumbridge_standins.fault_soak import soak_state
from gypsumbridge_standins.fault_soak import span as spans
from gypsumbridge_standins.fault_soak import statement_checks


def check_evacuated(
    state: soak_state.SoakState, runs: list[run_record.RunRecord]
) -> list[str]:
    """No gateway in contact sends there after the bound."""
    found = {outcome.request.request_id: outcome for outcome in state.outcomes}
    violations = []
    for record in runs:
        outcome = found.get(record.request_id)
        if outcome is None:
            continue
        domain = record.searcher_id.partition('-')[2]
        for evacuation in state.evacuated.get(domain, ()):
            late_ms = late_by_ms(outcome, record, evacuation)
            if late_ms > 0 and were_in_contact(
                state, outcome, record, evacuation
            ):
                problem = f'{record} {late_ms} ms too late for an evacuation'
                violations.append(answer_checks.describe(outcome, problem))
    return violations


def late_by_ms(
    outcome: outcomes.Outcome,
    record: run_record.RunRecord,
    evacuation: spans.Span,
) -> int:
    """Return how long after the bound a request was sent; 0 if it was not."""
    if record.at_ms > evacuation.end_ms:
        return 0
    # A frozen searcher reads a request long after it was sent, but none is
    # sent after the caller has its response.
    sent_ms = min(record.at_ms, outcome.ended_ms)
    return max(0, sent_ms - evacuation.start_ms - deployment.EVACUATION_MS)


def were_in_contact(
    state: soak_state.SoakState,
    outcome: outcomes.Outcome,
    record: run_record.RunRecord,
    evacuation: spans.Span,
) -> bool:
    """Return whether the gateway that may have sent a request was in contact.

    A gather may be sent by any gateway, so all of them have to be.
    """
    nodes = [outcome.request.node]
    if outcome.request.kind == statement_checks.GATHERED:
        nodes = list(state.cluster.nodes)
    return all(
        contact.is_in_contact(state, node, evacuation.start_ms, record.at_ms)
        for node in nodes
    )
