"""Runs searches of one searcher stand-in."""

import json
from typing import Any
import urllib.parse

from twisted.web import server

from gypsumbridge_standins import serve
from gypsumbridge_standins.searchers import limited_site
from gypsumbridge_standins.searchers import searcher_state

COLD_FACTOR = 3.0
# Share of a search's time that varies, exponentially distributed.
VARIABLE_SHARE = 0.3


def start_searcher(reactor: Any, state: searcher_state.SearcherState) -> Any:
    """Listen on the searcher's port."""
    queue_search = make_search(reactor, state)

    def handle(request: Any) -> Any:
        if request.path == b'/v1/health':
            return reply(state, request, 200, {'load': 0.0})
        return queue_search(request)

    site = limited_site.make_site(state, handle)
    return reactor.listenTCP(state.spec.port, site, interface='127.0.0.1')


def make_search(reactor: Any, state: searcher_state.SearcherState) -> Any:
    """Return the function that accepts a search or a mutation."""

    def start(job: dict[str, Any]) -> None:
        state.running += 1
        state.peak_running = max(state.peak_running, state.running)
        key = job['key']
        if key:
            state.executed[key] = state.executed.get(key, 0) + 1
        job['running'] = True
        delay_ms = search_time_ms(state) + job['connect_ms']
        job['timer'] = reactor.callLater(delay_ms / 1000, finish, job)

    def release(job: dict[str, Any]) -> None:
        if job['running']:
            job['running'] = False
            state.running -= 1
        while state.waiting and state.running < state.spec.slots:
            start(state.waiting.popleft())

    def finish(job: dict[str, Any]) -> None:
        state.searches += 1
        job['done'] = True
        release(job)
        request = job['request']
        if state.lose_replies > 0:
            state.lose_replies -= 1
            request.transport.abortConnection()
            return
        shard = job['shard'] + ('-other' if state.wrong_shard else '')
        request.setHeader('X-Shard', shard)
        request.setHeader('X-Index-Version', job['version'])
        body = {
            'shard': job['shard'],
            'version': job['version'],
            'echo': job['body'],
        }
        request.write(reply(state, request, 200, body))
        request.finish()

    def gone(_: Any, job: dict[str, Any]) -> None:
        if job['done']:
            return
        job['done'] = True
        state.cancelled += 1
        if job['running']:
            job['timer'].cancel()
        elif job in state.waiting:
            state.waiting.remove(job)
        release(job)

    def accept(request: Any) -> Any:
        state.received += 1
        job = read_job(state, request)
        refusal = refuse(state, job)
        if refusal is not None:
            if refusal == 'shed':
                state.shed += 1
            request.setHeader('X-Executed', 'no')
            request.setHeader('X-Reason', refusal)
            return reply(state, request, 503, {'reason': refusal})
        request.notifyFinish().addErrback(gone, job)
        if state.silent:
            return server.NOT_DONE_YET
        if state.running < state.spec.slots:
            start(job)
        else:
            state.waiting.append(job)
        return server.NOT_DONE_YET

    return accept


def read_job(
    state: searcher_state.SearcherState, request: Any
) -> dict[str, Any]:
    """Return what a request asks for."""
    first = not getattr(request.channel, 'used_before', False)
    request.channel.used_before = True
    parts = request.path.decode().split('/')
    return {
        'request': request,
        'shard': urllib.parse.unquote(parts[3]) if len(parts) > 3 else '',
        'version': request.getHeader('X-Index-Version') or '',
        'key': request.getHeader('Idempotency-Key') or '',
        'body': json.loads(request.content.read() or b'null'),
        'connect_ms': state.spec.connect_ms if first else 0,
        'running': False,
        'done': False,
    }


def refuse(
    state: searcher_state.SearcherState, job: dict[str, Any]
) -> str | None:
    """Return why a job is refused before it runs, or None."""
    if state.draining:
        return 'draining'
    if job['shard'] not in state.shards.get(job['version'], ()):
        return 'version_gone'
    full = state.running >= state.spec.slots
    if state.shedding or (full and len(state.waiting) >= state.spec.queue):
        return 'shed'
    return None


def search_time_ms(state: searcher_state.SearcherState) -> float:
    """Draw the time of a search."""
    mean = state.spec.service_ms * state.slowdown
    if state.searches < state.spec.cold_searches:
        mean *= COLD_FACTOR
    fixed = mean * (1 - VARIABLE_SHARE)
    return fixed + state.random.expovariate(1.0) * mean * VARIABLE_SHARE


def reply(
    state: searcher_state.SearcherState, request: Any, status: int, body: Any
) -> bytes:
    """Return a JSON reply that carries the searcher's state."""
    word = 'leaving' if state.draining else 'serving'
    request.setHeader('X-Endpoint-State', word)
    return serve.reply_json(request, status, body)
