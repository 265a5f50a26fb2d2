"""Checks of what searchers ran against what callers sent."""

import bisect
import collections

from gypsumbridge_standins.fault_soak import answer_checks
from gypsumbridge_standins.fault_soak import contact
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import run_record
from gypsumbridge_standins.fault_soak import soak_state

# A caller's close has to reach the searchers within this time.
CLOSE_MS = 500
# A few requests may cross a close.
LATE_AFTER_CLOSE = 3
LATE_AFTER_TIMEOUT = 8
BUDGET_WINDOW_MS = 10_000
REFUSALS = (408, 421, 429, 503)
Runs = dict[str, list[run_record.RunRecord]]


def check_runs(
    state: soak_state.SoakState, records: list[run_record.RunRecord]
) -> list[str]:
    """Return every promise that the run has broken so far."""
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
    """An unsafe request runs once at most, and never when refused."""
    found = []
    for outcome in state.outcomes:
        if outcome.request.kind != 'once':
            continue
        ran = runs.get(outcome.request.request_id, [])
        if len(ran) > 1:
            found.append(answer_checks.say(outcome, f'ran twice: {ran}'))
        if ran and outcome.status in REFUSALS:
            found.append(answer_checks.say(outcome, f'refused, ran: {ran}'))
    return found


def check_attempts(runs: Runs) -> list[str]:
    """A request reaches no more searchers of a service than allowed."""
    found = []
    for request_id, ran in runs.items():
        counts = collections.Counter(record.service for record in ran)
        found += [
            f'{request_id} ran {count} times at {service}'
            for service, count in counts.items()
            if count > deployment.MAX_ATTEMPTS
        ]
    return found


def check_budget(
    state: soak_state.SoakState, records: list[run_record.RunRecord]
) -> list[str]:
    """Repeats stay within the budget of every window."""
    sent: dict[str, list[int]] = {s: [] for s in deployment.SERVICES}
    for outcome in state.outcomes:
        for service in services_of(outcome.request.kind):
            sent[service].append(outcome.request.sent_ms)
    extra: dict[str, list[int]] = {s: [] for s in deployment.SERVICES}
    seen = set()
    for record in sorted(records, key=lambda record: record.at_ms):
        if (record.request_id, record.service) in seen:
            extra[record.service].append(record.at_ms)
        seen.add((record.request_id, record.service))
    found = []
    for service, times in extra.items():
        sent[service].sort()
        for index, end_ms in enumerate(times):
            start_ms = end_ms - BUDGET_WINDOW_MS
            arrivals = index + 1 - bisect.bisect_left(times, start_ms)
            # Requests of this window, the one before it or the one half a
            # window earlier, whichever has most.
            basis = max(
                count_between(sent[service], start_ms - d, end_ms - d)
                for d in (0, BUDGET_WINDOW_MS // 2, BUDGET_WINDOW_MS)
            )
            if (
                arrivals
                > deployment.BUDGET_RATIO * basis + deployment.ALLOWANCE
            ):
                found.append(f'{service}: {arrivals} repeats by {end_ms}')
                break
    return found


def services_of(kind: str) -> tuple[str, ...]:
    """Return the services that a kind of request goes to."""
    if kind == 'all':
        return deployment.SERVICES
    return {'one': ('s1',), 'once': ('s2',), 'new': ('s3',)}.get(kind, ())


def count_between(times: list[int], start_ms: int, end_ms: int) -> int:
    """Count sorted times in a span."""
    return bisect.bisect_right(times, end_ms) - bisect.bisect_left(
        times, start_ms
    )


def check_draining(state: soak_state.SoakState, runs: Runs) -> list[str]:
    """A searcher that announced its end gets nothing after the bound."""
    found = []
    for outcome in state.outcomes:
        node = outcome.request.node
        for record in runs.get(outcome.request.request_id, ()):
            for drain in state.draining.get(record.searcher_id, ()):
                # A frozen searcher reads a request long after it was sent;
                # once the caller has its response, nothing more is sent.
                sent_ms = min(record.at_ms, outcome.ended_ms)
                late_ms = sent_ms - drain.start_ms
                if record.at_ms > drain.end_ms:
                    continue
                if late_ms <= deployment.DRAIN_MS:
                    continue
                if contact.in_touch(state, node, drain.start_ms, record.at_ms):
                    found.append(
                        answer_checks.say(
                            outcome, f'{record} {late_ms} ms into a drain'
                        )
                    )
    return found


def check_closed(state: soak_state.SoakState, runs: Runs) -> list[str]:
    """After a caller's close nothing more is sent for it."""
    late = [
        answer_checks.say(outcome, f'{record} after its caller had left')
        for outcome in state.outcomes
        if outcome.gave_up
        and contact.unharmed(
            state,
            outcome.request.node,
            outcome.request.sent_ms,
            outcome.ended_ms + CLOSE_MS,
        )
        for record in runs.get(outcome.request.request_id, ())
        if record.at_ms > outcome.ended_ms + CLOSE_MS
    ]
    return late if len(late) > LATE_AFTER_CLOSE else []


def check_lost(state: soak_state.SoakState, runs: Runs) -> list[str]:
    """Planned work cuts no request that was read."""
    found = []
    for outcome in state.outcomes:
        request = outcome.request
        if outcome.status or outcome.gave_up:
            continue
        if not contact.unharmed(
            state, request.node, request.sent_ms, outcome.ended_ms
        ):
            continue
        passed_ms = state.passed_ms.get(request.request_id, outcome.ended_ms)
        took_ms = outcome.ended_ms - passed_ms
        if runs.get(request.request_id) or took_ms > deployment.LOSS_SLACK_MS:
            found.append(answer_checks.say(outcome, 'cut off'))
    return found


def check_timeouts(state: soak_state.SoakState) -> list[str]:
    """Most requests that reach the route's time-out are answered soon."""
    slow = [
        outcome
        for outcome in state.outcomes
        if outcome.ended_ms - outcome.request.sent_ms > deployment.TIMEOUT_MS
        and contact.in_touch(
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
        > deployment.TIMEOUT_MS + CLOSE_MS
    ]
    if len(late) < LATE_AFTER_TIMEOUT or len(late) * 2 <= len(slow):
        return []
    return [answer_checks.say(outcome, 'held too long') for outcome in late]
