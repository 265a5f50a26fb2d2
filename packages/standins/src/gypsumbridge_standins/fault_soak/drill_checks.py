"""Checks of what gateways keep when the store comes back from a copy."""

from gypsumbridge_standins.fault_soak import answer_checks
from gypsumbridge_standins.fault_soak import contact
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import run_record
from gypsumbridge_standins.fault_soak import soak_state

GATHERED = 'all'


def check_departed(
    state: soak_state.SoakState, runs: list[run_record.RunRecord]
) -> list[str]:
    """A searcher that departed before a drill gets no request after it.

    A gateway that was disturbed since the departure may know only the copy.
    Any gateway may have sent a request that is gathered.
    """
    outcomes = {o.request.request_id: o for o in state.outcomes}
    violations = []
    for record in runs:
        outcome = outcomes.get(record.request_id)
        if outcome is None:
            continue
        nodes = [outcome.request.node]
        if outcome.request.kind == GATHERED:
            nodes = list(state.cluster.nodes)
        # A frozen searcher reads a request long after it was sent.
        sent_ms = min(record.at_ms, outcome.ended_ms)
        for span in state.departed.get(record.searcher_id, ()):
            late_ms = sent_ms - span.start_ms
            if late_ms <= deployment.DRAIN_MS or record.at_ms > span.end_ms:
                continue
            if all(
                contact.has_known(state, node, span.start_ms, record.at_ms)
                for node in nodes
            ):
                violations.append(
                    answer_checks.describe(
                        outcome, f'{record} {late_ms} ms after it departed'
                    )
                )
    return violations
