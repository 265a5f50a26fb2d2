"""Collects the results of the queries of a run."""

import json

from hdrh import histogram

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_standins.policy_bench import case
from gypsumbridge_standins.policy_bench import cell
from gypsumbridge_standins.policy_bench import issued_query

MAX_LATENCY_MS = 60_000
# Refusal times are recorded as thousandths of the deadline.
STEPS_PER_DEADLINE = 1_000


class Tally:
    """Counts by (window, service, rank); service '*' is the sum of all.

    `served_ms` is the slot time of answers by the window of the answer and
    by rank. `received_by_endpoints` holds the queries of which an endpoint
    received a request, and `reported_not_run` those refused as not run.
    """

    def __init__(self, ranks: dict[str, resources.Rank]) -> None:
        self.ranks = ranks
        self.issued: dict[str, issued_query.IssuedQuery] = {}
        self.counts: dict[tuple[str, str, str], dict[str, int]] = {}
        self.latencies: dict[tuple[str, str, str], histogram.HdrHistogram] = {}
        self.refusals: dict[tuple[str, str, str], histogram.HdrHistogram] = {}
        self.attempts: dict[str, int] = {}
        self.needed: dict[str, int] = {}
        self.calls: set[tuple[str, str]] = set()
        self.window_of: dict[str, str] = {}
        self.served_ms: dict[tuple[str, str], int] = {}
        self.received_by_endpoints: set[str] = set()
        self.reported_not_run: set[str] = set()

    def record_issued(self, issued: issued_query.IssuedQuery) -> None:
        """Count a query that is due."""
        query = issued.query
        self.issued[query.query_id] = issued
        self.window_of[query.query_id] = issued.window
        self._add(issued, 'offered', 1)
        if not issued.flooding:
            self._add(issued, 'others_offered', 1)

    def record_attempt(
        self, query_id: str, shard: str, received: bool
    ) -> None:
        """Count a request to an endpoint; the first for a shard is needed."""
        window = self.window_of.get(query_id, '')
        self.attempts[window] = self.attempts.get(window, 0) + 1
        if (query_id, shard) not in self.calls:
            self.calls.add((query_id, shard))
            self.needed[window] = self.needed.get(window, 0) + 1
        if received:
            self.received_by_endpoints.add(query_id)

    def record_result(
        self, result: messages.Answer | messages.Refusal, now_ms: int
    ) -> None:
        """Count an answer or a refusal."""
        issued = self.issued.pop(result.query_id, None)
        if issued is None:
            raise AssertionError(f'{result.query_id} ended twice')
        elapsed_ms = now_ms - issued.due_ms
        if isinstance(result, messages.Answer):
            self._record_answer(issued, result, now_ms)
            return
        share = elapsed_ms * STEPS_PER_DEADLINE // issued.query.deadline_ms
        for key in self._keys(issued):
            recorder = self.refusals.setdefault(key, _make_histogram())
            recorder.record_value(max(share, 1))
        if result.run_state == messages.RunState.NOT_RUN:
            self.reported_not_run.add(result.query_id)
            self._add(issued, 'not_run', 1)
        else:
            self._add(issued, 'unknown', 1)

    def cells(self) -> dict[tuple[str, str, str], cell.Cell]:
        """Return the results; queries that have not ended count as lost."""
        for issued in self.issued.values():
            self._add(issued, 'lost', 1)
        self.issued = {}
        return {key: self._cell(key) for key in self.counts}

    def _record_answer(
        self,
        issued: issued_query.IssuedQuery,
        answer: messages.Answer,
        now_ms: int,
    ) -> None:
        elapsed_ms = now_ms - issued.due_ms
        for key in self._keys(issued):
            recorder = self.latencies.setdefault(key, _make_histogram())
            recorder.record_value(max(elapsed_ms, 1))
        took_ms = sum(json.loads(p.payload)['took_ms'] for p in answer.parts)
        self._add(issued, 'answered', 1)
        self._add(issued, 'useful_ms', took_ms)
        served = (case.window(now_ms), issued.query.rank)
        self.served_ms[served] = self.served_ms.get(served, 0) + took_ms
        if not issued.flooding:
            self._add(issued, 'others_answered', 1)
        if answer.missing:
            return
        self._add(issued, 'full', 1)
        if elapsed_ms <= self.ranks[issued.query.rank].target_ms:
            self._add(issued, 'in_target', 1)

    def _keys(
        self, issued: issued_query.IssuedQuery
    ) -> list[tuple[str, str, str]]:
        rank = issued.query.rank
        windows = [issued.window]
        if issued.window != 'before':
            windows.append('all')
        return [
            (window, service, rank)
            for window in windows
            for service in ('*', issued.query.service)
        ]

    def _add(
        self, issued: issued_query.IssuedQuery, name: str, value: int
    ) -> None:
        for key in self._keys(issued):
            counts = self.counts.setdefault(key, {})
            counts[name] = counts.get(name, 0) + value

    def _cell(self, key: tuple[str, str, str]) -> cell.Cell:
        counts = self.counts[key]
        latency = self.latencies.get(key) or _make_histogram()
        refusal = self.refusals.get(key) or _make_histogram()
        names = (
            'offered',
            'answered',
            'full',
            'in_target',
            'not_run',
            'unknown',
            'lost',
            'useful_ms',
            'others_offered',
            'others_answered',
        )
        return cell.Cell(
            *(counts.get(name, 0) for name in names),
            p50_ms=float(latency.get_value_at_percentile(50)),
            p99_ms=float(latency.get_value_at_percentile(99)),
            refusal_share=refusal.get_value_at_percentile(99)
            / STEPS_PER_DEADLINE,
        )


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_LATENCY_MS, 3)
