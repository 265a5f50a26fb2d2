"""Runs the searches and mutations of one searcher stand-in."""

import json
from typing import Any
import urllib.parse

from twisted.web import server

from gypsumbridge_standins import serve
from gypsumbridge_standins.searchers import limited_site
from gypsumbridge_standins.searchers import search_job
from gypsumbridge_standins.searchers import searcher_state

COLD_SEARCH_FACTOR = 3.0
# Share of a search's time that varies, exponentially distributed.
VARIABLE_SHARE = 0.3


def start_searcher(reactor: Any, state: searcher_state.SearcherState) -> Any:
    """Listen on the searcher's port."""

    def handle(request: Any) -> Any:
        if request.path == b'/v1/health':
            return encode_reply(state, request, 200, {'load': 0.0})
        return accept(reactor, state, request)

    site = limited_site.make_site(state, handle)
    return reactor.listenTCP(state.spec.port, site, interface='127.0.0.1')


def accept(
    reactor: Any, state: searcher_state.SearcherState, request: Any
) -> Any:
    """Start a search or mutation, queue it, or refuse it."""
    state.received += 1
    job = read_job(state, request)
    refusal = find_refusal(state, job)
    if refusal is not None:
        state.shed += refusal == 'shed'
        request.setHeader('X-Executed', 'no')
        request.setHeader('X-Reason', refusal)
        return encode_reply(state, request, 503, {'reason': refusal})
    request.notifyFinish().addErrback(lambda _: cancel(reactor, state, job))
    if state.silent:
        return server.NOT_DONE_YET
    if state.running < state.spec.slots:
        start(reactor, state, job)
    else:
        state.waiting.append(job)
    return server.NOT_DONE_YET


def start(
    reactor: Any,
    state: searcher_state.SearcherState,
    job: search_job.SearchJob,
) -> None:
    """Take a slot, and finish after a random search time."""
    state.running += 1
    state.peak_running = max(state.peak_running, state.running)
    if job.key:
        state.executed[job.key] = state.executed.get(job.key, 0) + 1
    job.running = True
    delay_ms = search_time_ms(state) + job.connect_ms
    job.timer = reactor.callLater(delay_ms / 1000, finish, reactor, state, job)


def release(
    reactor: Any,
    state: searcher_state.SearcherState,
    job: search_job.SearchJob,
) -> None:
    """Free the job's slot and start waiting jobs."""
    if job.running:
        job.running = False
        state.running -= 1
    while state.waiting and state.running < state.spec.slots:
        start(reactor, state, state.waiting.popleft())


def finish(
    reactor: Any,
    state: searcher_state.SearcherState,
    job: search_job.SearchJob,
) -> None:
    """Reply to a job that has run, unless the fault loses its reply."""
    state.searches += 1
    job.done = True
    release(reactor, state, job)
    if state.lose_replies > 0:
        state.lose_replies -= 1
        job.request.transport.abortConnection()
        return
    shard = job.shard + ('-other' if state.wrong_shard else '')
    job.request.setHeader('X-Shard', shard)
    job.request.setHeader('X-Index-Version', job.version)
    body = {'shard': job.shard, 'version': job.version, 'echo': job.body}
    job.request.write(encode_reply(state, job.request, 200, body))
    job.request.finish()


def cancel(
    reactor: Any,
    state: searcher_state.SearcherState,
    job: search_job.SearchJob,
) -> None:
    """End a job whose client has closed the connection."""
    if job.done:
        return
    job.done = True
    state.cancelled += 1
    if job.running:
        job.timer.cancel()
    elif job in state.waiting:
        state.waiting.remove(job)
    release(reactor, state, job)


def read_job(
    state: searcher_state.SearcherState, request: Any
) -> search_job.SearchJob:
    """Return the job of a request."""
    first = not getattr(request.channel, 'used_before', False)
    request.channel.used_before = True
    parts = request.path.decode().split('/')
    return search_job.SearchJob(
        request=request,
        shard=urllib.parse.unquote(parts[3]) if len(parts) > 3 else '',
        version=request.getHeader('X-Index-Version') or '',
        key=request.getHeader('Idempotency-Key') or '',
        body=json.loads(request.content.read() or b'null'),
        connect_ms=state.spec.connect_ms if first else 0,
    )


def find_refusal(
    state: searcher_state.SearcherState, job: search_job.SearchJob
) -> str | None:
    """Return the reason to refuse a job before it runs, or None."""
    if state.draining:
        return 'draining'
    if job.shard not in state.shards.get(job.version, ()):
        return 'version_gone'
    full = state.running >= state.spec.slots
    if state.shedding or (full and len(state.waiting) >= state.spec.queue):
        return 'shed'
    return None


def search_time_ms(state: searcher_state.SearcherState) -> float:
    """Return a random time for one search."""
    mean = state.spec.service_ms * state.slowdown
    if state.searches < state.spec.cold_searches:
        mean *= COLD_SEARCH_FACTOR
    fixed = mean * (1 - VARIABLE_SHARE)
    return fixed + state.random.expovariate(1.0) * mean * VARIABLE_SHARE


def encode_reply(
    state: searcher_state.SearcherState, request: Any, status: int, body: Any
) -> bytes:
    """Return a JSON reply with the searcher's state in a header."""
    state_name = 'leaving' if state.draining else 'serving'
    request.setHeader('X-Endpoint-State', state_name)
    return serve.encode_json_reply(request, status, body)
