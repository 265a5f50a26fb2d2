"""Open-loop load: sends HTTP requests at a fixed rate."""

from collections.abc import Callable
import json
from typing import Any

from hdrh import histogram
from twisted.internet import defer

from gypsumbridge_node import http_client
from gypsumbridge_node import http_response
from gypsumbridge_standins.bench import load_result
from gypsumbridge_wire import http_request

MAX_LATENCY_US = 120_000_000
CONNECTIONS = 200


class LoadState:
    """Counts and latencies of one run."""

    def __init__(self) -> None:
        self.latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
        self.sent = 0
        self.answered = 0
        self.full_coverage = 0
        self.refused = 0


def run_load(
    reactor: Any,
    rate: float,
    count: int,
    make_request: Callable[[int], tuple[str, http_request.HttpRequest]],
) -> 'defer.Deferred[load_result.LoadResult]':
    """Send `count` requests at `rate` per second and wait for all.

    `make_request` returns `ip:port` and request by number. A latency is
    measured from the due time of its request, so that a busy load generator
    does not hide delays.
    """
    state = LoadState()
    pool = http_client.make_pool(reactor, CONNECTIONS)
    call = http_client.make_call(reactor, pool, 5_000)
    started_s = reactor.seconds()
    requests = []

    def send(number: int, due_s: float) -> 'defer.Deferred[None]':
        address, request = make_request(number)
        host, port = address.rsplit(':', 1)
        state.sent += 1
        response_deferred = call(host, int(port), request)
        response_deferred.addCallbacks(
            lambda r: record_response(state, r, reactor.seconds() - due_s),
            lambda f: record_failure(state),
        )
        return response_deferred

    for number in range(count):
        due_s = started_s + number / rate
        delayed = defer.Deferred()
        delayed.addCallback(lambda _, n=number, d=due_s: send(n, d))
        reactor.callLater(number / rate, delayed.callback, None)
        requests.append(delayed)
    all_done = defer.gatherResults(requests)
    return all_done.addCallback(lambda _: make_result(state))


def record_response(
    state: LoadState, response: http_response.HttpResponse, latency_s: float
) -> None:
    """Count a response; any status but 200 counts as refused."""
    if response.status != 200:
        state.refused += 1
        return
    state.answered += 1
    state.latencies.record_value(max(int(latency_s * 1_000_000), 1))
    if json.loads(response.body).get('coverage', 1.0) == 1.0:
        state.full_coverage += 1


def record_failure(state: LoadState) -> None:
    """Count a request without a response as refused."""
    state.refused += 1


def make_result(state: LoadState) -> load_result.LoadResult:
    """Return the result of a run."""
    return load_result.LoadResult(
        state.sent,
        state.answered,
        state.full_coverage,
        state.refused,
        state.latencies.get_value_at_percentile(50) / 1_000,
        state.latencies.get_value_at_percentile(99) / 1_000,
    )
