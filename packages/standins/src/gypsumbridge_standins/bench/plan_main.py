"""Sends the queries of a plan and prints the result as JSON."""

import collections
import json
import pathlib
import sys
from typing import Any

from hdrh import histogram
from twisted.internet import defer

from gypsumbridge_node import http_client
from gypsumbridge_node import http_response
from gypsumbridge_wire import http_request

MAX_LATENCY_US = 120_000_000
CONNECTIONS = 100
READINESS_INTERVAL_S = 0.1
READINESS_REQUEST = http_request.HttpRequest('GET', '/readyz', {}, b'')


class PlanState:
    """Counts and latencies of one rank's queries.

    `ready_nodes` holds the nodes to which queries are sent. `counts` has
    answers, refusals by code and run state, and requests without a
    response as `failed` with the type of the error.
    """

    def __init__(self, nodes: list[str]) -> None:
        self.nodes = nodes
        self.ready_nodes = list(nodes)
        self.latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
        self.counts: collections.Counter[str] = collections.Counter()
        self.attempts = 0
        self.shards = 0
        self.next_node = 0


def run_plan(reactor: Any, plan: dict[str, Any]) -> Any:
    """Send every query when it is due and wait for all responses."""
    state = PlanState(plan['nodes'])
    pool = http_client.make_pool(reactor, CONNECTIONS)
    call = http_client.make_call(reactor, pool, 5_000)
    requests = []
    started_s = reactor.seconds()
    if plan['check_ready']:
        poll_readiness(reactor, state, call)
    for item in plan['requests']:
        due_s = started_s + item['due_s']
        delayed = defer.Deferred()
        delayed.addCallback(
            lambda _, i=item, d=due_s: send(reactor, state, call, i, d)
        )
        reactor.callLater(item['due_s'], delayed.callback, None)
        requests.append(delayed)
    all_done = defer.gatherResults(requests)
    return all_done.addCallback(lambda _: make_result(state, len(requests)))


def poll_readiness(reactor: Any, state: PlanState, call: Any) -> None:
    """Poll the readiness of all nodes periodically, as a balancer does.

    The last ready node is kept, so that queries always have a target.
    """

    def set_ready(node: str, ready: bool) -> None:
        if ready and node not in state.ready_nodes:
            state.ready_nodes.append(node)
        if (
            not ready
            and node in state.ready_nodes
            and len(state.ready_nodes) > 1
        ):
            state.ready_nodes.remove(node)

    for node in state.nodes:
        host, port = node.rsplit(':', 1)
        call(host, int(port), READINESS_REQUEST).addCallbacks(
            lambda r, n=node: set_ready(n, r.status == 200),
            lambda _, n=node: set_ready(n, False),
        )
    reactor.callLater(
        READINESS_INTERVAL_S, poll_readiness, reactor, state, call
    )


def send(
    reactor: Any, state: PlanState, call: Any, item: Any, due_s: float
) -> Any:
    """Send one query to the next ready node."""
    state.next_node += 1
    node = state.ready_nodes[state.next_node % len(state.ready_nodes)]
    host, port = node.rsplit(':', 1)
    body = json.dumps(item['body']).encode()
    request = http_request.HttpRequest('POST', '/v1/query', {}, body)
    response_deferred = call(host, int(port), request)
    return response_deferred.addCallbacks(
        lambda r: record_response(state, r, reactor.seconds() - due_s),
        lambda f: state.counts.update([f'failed {f.type.__name__}']),
    )


def record_response(
    state: PlanState, response: http_response.HttpResponse, latency_s: float
) -> None:
    """Count one response."""
    body = json.loads(response.body)
    if response.status != 200:
        state.counts[f'refused {body["code"]} {body["run_state"]}'] += 1
        return
    state.counts['answered'] += 1
    state.counts['full_coverage'] += body['coverage'] == 1.0
    state.latencies.record_value(max(int(latency_s * 1_000_000), 1))
    state.attempts += body['attempts']
    state.shards += len(body['covered']) + len(body['missing'])


def make_result(state: PlanState, sent: int) -> dict[str, Any]:
    """Return the result of a run."""
    extra = state.attempts / state.shards - 1 if state.shards else 0.0
    return {
        'sent': sent,
        'counts': dict(state.counts),
        'p50_ms': state.latencies.get_value_at_percentile(50) / 1_000,
        'p99_ms': state.latencies.get_value_at_percentile(99) / 1_000,
        'extra_attempts': extra,
    }


def main() -> None:
    """Run the plan named on the command line."""
    from twisted.internet import reactor

    plan = json.loads(pathlib.Path(sys.argv[1]).read_text())

    def report_result(result: dict[str, Any]) -> None:
        print(json.dumps(result), flush=True)
        reactor.stop()

    def report_failure(failure: Any) -> None:
        print(failure.getTraceback(), file=sys.stderr)
        reactor.stop()

    run_plan(reactor, plan).addCallbacks(report_result, report_failure)
    reactor.run()


if __name__ == '__main__':
    main()
