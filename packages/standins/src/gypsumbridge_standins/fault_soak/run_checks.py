"""Checks of the searchers' runs against the callers' requests."""

import bisect
import collections

from gypsumbridge_standins.fault_soak import answer_checks
from gypsumbridge_standins.fault_soak import contact
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import run_record
from gypsumbridge_standins.fault_soak import soak_state

# Time within which a caller's close has to end the work of its request.
CLOSE_PROPAGATION_MS = 500
# Requests that may be sent to searchers while a close is on its way.
MAX_LATE_AFTER_CLOSE = 3
MIN_LATE_AFTER_TIMEOUT = 8
BUDGET_WINDOW_MS = 10_000
REFUSALS = (408, 421, 429, 503)
Runs = dict[str, list[run_record.RunRecord]]


def check_runs(
    state: soak_state.SoakState, records: list[run_record.RunRecord]
) -> list[str]:
    """Return the guarantees that the run has violated so far."""
    runs: Runs = collections.defaultdict(list)
    for record in records:
        runs[record.request_id].append(record)
    return [
        *check_unsafe(state, runs),
        *check_attempts(runs),
        *check_budget(state, records),
        *check_draining(state, runs),
        *check_closed(state, runs),
        *check_lost(state, runs),
        *check_timeouts(state),
    ]


def check_unsafe(state: soak_state.SoakState, runs: Runs) -> list[str]:
    """An unsafe request runs at most once, and never if it was refused."""
    violations = []
    for outcome in state.outcomes:
        if outcome.request.kind != 'once':
            continue
        request_runs = runs.get(outcome.request.request_id, [])
        if len(request_runs) > 1:
            violations.append(
                answer_checks.describe(outcome, f'ran twice: {request_runs}')
            )
        if request_runs and outcome.status in REFUSALS:
            violations.append(
                answer_checks.describe(
                    outcome, f'refused, ran: {request_runs}'
                )
            )
    return violations


def check_attempts(runs: Runs) -> list[str]:
    """A request runs at most `MAX_ATTEMPTS` times for each service."""
    violations = []
    for request_id, request_runs in runs.items():
        counts = collections.Counter(record.service for record in request_runs)
        violations += [
            f'{request_id} ran {count} times at {service}'
            for service, count in counts.items()
            if count > deployment.MAX_ATTEMPTS
        ]
    return violations


def check_budget(
    state: soak_state.SoakState, records: list[run_record.RunRecord]
) -> list[str]:
    """Repeats stay within the retry budget of every window."""
    sent: dict[str, list[int]] = {s: [] for s in deployment.SERVICES}
    for outcome in state.outcomes:
        for service in services_of(outcome.request.kind):
            sent[service].append(outcome.request.sent_ms)
    repeats: dict[str, list[int]] = {s: [] for s in deployment.SERVICES}
    seen = set()
    for record in sorted(records, key=lambda record: record.at_ms):
        if (record.request_id, record.service) in seen:
            repeats[record.service].append(record.at_ms)
        seen.add((record.request_id, record.service))
    violations = []
    for service, times in repeats.items():
        sent[service].sort()
        for index, end_ms in enumerate(times):
            start_ms = end_ms - BUDGET_WINDOW_MS
            repeat_count = index + 1 - bisect.bisect_left(times, start_ms)
            # The highest request count of this window, the previous one and
            # the one half a window earlier.
            request_count = max(
                count_between(sent[service], start_ms - d, end_ms - d)
                for d in (0, BUDGET_WINDOW_MS // 2, BUDGET_WINDOW_MS)
            )
            if (
                repeat_count
                > deployment.BUDGET_RATIO * request_count
                + deployment.ALLOWANCE
            ):
                violations.append(
                    f'{service}: {repeat_count} repeats by {end_ms}'
                )
                break
    return violations


def services_of(kind: str) -> tuple[str, ...]:
    """Return the services that serve a kind of request."""
    if kind == 'all':
        return deployment.SERVICES
    return {'one': ('s1',), 'once': ('s2',), 'new': ('s3',)}.get(kind, ())


def count_between(times: list[int], start_ms: int, end_ms: int) -> int:
    """Return the number of sorted times within a span."""
    return bisect.bisect_right(times, end_ms) - bisect.bisect_left(
        times, start_ms
    )


def check_draining(state: soak_state.SoakState, runs: Runs) -> list[str]:
    """A draining searcher gets no request after the drain bound."""
    violations = []
    for outcome in state.outcomes:
        node = outcome.request.node
        for record in runs.get(outcome.request.request_id, ()):
            for drain in state.draining.get(record.searcher_id, ()):
                # A frozen searcher reads a request long after it was sent,
                # but none is sent after the caller has its response.
                sent_ms = min(record.at_ms, outcome.ended_ms)
                late_ms = sent_ms - drain.start_ms
                if record.at_ms > drain.end_ms:
                    continue
                if late_ms <= deployment.DRAIN_MS:
                    continue
                if contact.is_in_contact(
                    state, node, drain.start_ms, record.at_ms
                ):
                    violations.append(
                        answer_checks.describe(
                            outcome, f'{record} {late_ms} ms into a drain'
                        )
                    )
    return violations


def check_closed(state: soak_state.SoakState, runs: Runs) -> list[str]:
    """After a caller's close no more requests are sent for it."""
    late = [
        answer_checks.describe(
            outcome, f'{record} after its caller had closed'
        )
        for outcome in state.outcomes
        if outcome.gave_up
        and contact.is_fault_free(
            state,
            outcome.request.node,
            outcome.request.sent_ms,
            outcome.ended_ms + CLOSE_PROPAGATION_MS,
        )
        for record in runs.get(outcome.request.request_id, ())
        if record.at_ms > outcome.ended_ms + CLOSE_PROPAGATION_MS
    ]
    return late if len(late) > MAX_LATE_AFTER_CLOSE else []


def check_lost(state: soak_state.SoakState, runs: Runs) -> list[str]:
    """Planned work loses no request that a gateway has read.

    A connection that ends soon after the request was forwarded, without a
    run at a searcher, counts as not read.
    """
    violations = []
    for outcome in state.outcomes:
        request = outcome.request
        if outcome.status or outcome.gave_up:
            continue
        if not contact.is_fault_free(
            state, request.node, request.sent_ms, outcome.ended_ms
        ):
            continue
        forwarded_ms = state.forwarded_ms.get(
            request.request_id, outcome.ended_ms
        )
        response_ms = outcome.ended_ms - forwarded_ms
        if (
            runs.get(request.request_id)
            or response_ms > deployment.LOSS_SLACK_MS
        ):
            violations.append(answer_checks.describe(outcome, 'lost'))
    return violations


def check_timeouts(state: soak_state.SoakState) -> list[str]:
    """Most requests that time out are answered soon after the timeout."""
    slow = [
        outcome
        for outcome in state.outcomes
        if outcome.ended_ms - outcome.request.sent_ms > deployment.TIMEOUT_MS
        and contact.is_in_contact(
            state,
            outcome.request.node,
            outcome.request.sent_ms,
            outcome.ended_ms,
        )
    ]
    late = [
        outcome
        for outcome in slow
        if outcome.ended_ms - outcome.request.sent_ms
        > deployment.TIMEOUT_MS + CLOSE_PROPAGATION_MS
    ]
    if len(late) < MIN_LATE_AFTER_TIMEOUT or len(late) * 2 <= len(slow):
        return []
    return [
        answer_checks.describe(outcome, 'held too long') for outcome in late
    ]
