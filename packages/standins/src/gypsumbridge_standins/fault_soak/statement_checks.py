"""Checks that gateways obey what searchers state in their answers.

Only requests to one searcher are checked: a gather may be sent by another
gateway than the one that its caller used.
"""

import collections

from gypsumbridge_platform import header_names
from gypsumbridge_standins.fault_soak import answer_checks
from gypsumbridge_standins.fault_soak import contact
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import outcome as outcomes
from gypsumbridge_standins.fault_soak import run_record
from gypsumbridge_standins.fault_soak import soak_state
from gypsumbridge_standins.users_platform import searcher_site

NAMES = header_names.HEADERS
GATHERED = 'all'
# Requests that were on their way when a searcher refused another one.
REFUSAL_NOTICE_MS = 500
MAX_AFTER_REFUSAL = 2


def direct_outcomes(
    state: soak_state.SoakState,
) -> dict[str, outcomes.Outcome]:
    """Return the outcomes of requests that one gateway handled, by id."""
    return {
        outcome.request.request_id: outcome
        for outcome in state.outcomes
        if outcome.request.kind != GATHERED
    }


def check_leaving(
    state: soak_state.SoakState, runs: list[run_record.RunRecord]
) -> list[str]:
    """A gateway obeys the statement that a searcher leaves.

    A request that a caller sends later than `DRAIN_MS` after its gateway
    has passed on such an answer does not reach that searcher.
    """
    found = direct_outcomes(state)
    violations = []
    for searcher_id, spans in state.leaving.items():
        for leaving in spans:
            told_ms: dict[str, int] = {}
            for record in runs:
                outcome = found.get(record.request_id)
                if outcome is None or record.searcher_id != searcher_id:
                    continue
                if not leaving.start_ms <= record.at_ms <= leaving.end_ms:
                    continue
                node = outcome.request.node
                since_ms = told_ms.get(node)
                late_ms = outcome.request.sent_ms - (since_ms or 0)
                if since_ms is None:
                    if is_statement(outcome, record, leaving.start_ms):
                        told_ms[node] = outcome.ended_ms
                elif late_ms > deployment.DRAIN_MS and contact.is_in_contact(
                    state, node, since_ms, record.at_ms
                ):
                    violations.append(
                        answer_checks.describe(
                            outcome, f'{record} {late_ms} ms after it left'
                        )
                    )
    return violations


def is_statement(
    outcome: outcomes.Outcome,
    record: run_record.RunRecord,
    start_ms: int,
) -> bool:
    """Return whether a caller got this searcher's answer, sent in the span."""
    signature = f'{record.searcher_id}.{record.request_id}'
    return (
        outcome.status == 200
        and outcome.headers.get(NAMES.signature) == signature
        and NAMES.leaving in outcome.headers
        and record.at_ms >= start_ms
    )


def check_refusals(
    state: soak_state.SoakState, refusals: list[run_record.RunRecord]
) -> list[str]:
    """A searcher that states a time gets few requests until it has passed."""
    found = direct_outcomes(state)
    times: dict[tuple[str, str], list[int]] = collections.defaultdict(list)
    for record in refusals:
        outcome = found.get(record.request_id)
        if outcome is None:
            continue
        # A frozen searcher refuses a request long after it was sent.
        at_ms = min(record.at_ms, outcome.ended_ms)
        times[outcome.request.node, record.searcher_id].append(at_ms)
    violations = []
    for (node, searcher_id), refused in times.items():
        for start_ms in refused:
            late = [
                at_ms
                for at_ms in refused
                if start_ms + REFUSAL_NOTICE_MS
                < at_ms
                < start_ms + searcher_site.RETRY_AFTER_MS
            ]
            if len(late) > MAX_AFTER_REFUSAL and contact.is_in_contact(
                state, node, start_ms, max(late)
            ):
                violations.append(
                    f'{node} sent {len(late)} requests to {searcher_id}'
                    f' after its refusal at {start_ms}'
                )
                break
    return violations
