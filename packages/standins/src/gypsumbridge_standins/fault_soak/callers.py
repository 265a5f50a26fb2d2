"""Callers that send requests over keep-alive connections."""

import random

from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers

from gypsumbridge_platform import header_names
from gypsumbridge_standins.fault_soak import answer_checks
from gypsumbridge_standins.fault_soak import contact
from gypsumbridge_standins.fault_soak import demand_wave
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import http_exchange
from gypsumbridge_standins.fault_soak import outcome as outcomes
from gypsumbridge_standins.fault_soak import sent_request
from gypsumbridge_standins.fault_soak import soak_state

NAMES = header_names.HEADERS
CALLERS = 10
MEAN_INTERVAL_S = 0.06
DEADLINE_MS = 4_000
# One request in this many is given up before its deadline.
GIVE_UP_ONE_IN = 12
GIVE_UP_AFTER_MS = (5, 300)
KINDS = {'all': 10, 'one': 3, 'once': 5, 'new': 1, 'dropped': 1}
BODY = b'x' * 20_000


async def run_caller(state: soak_state.SoakState, number: int) -> None:
    """Send requests to random gateways until the run stops."""
    rng = random.Random(f'caller {state.plan.seed} {number}')
    pool = client.HTTPConnectionPool(state.reactor, persistent=True)
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = 1
    pool.cachedConnectionTimeout = 40
    agent = client.Agent(state.reactor, connectTimeout=1.0, pool=pool)
    while not state.stopping:
        request = draw_request(state, rng)
        if request is not None:
            outcome = await send(state, agent, request)
            state.outcomes.append(outcome)
            state.violations.extend(answer_checks.check_answer(outcome))
        interval_s = rng.expovariate(1 / MEAN_INTERVAL_S)
        await task.deferLater(state.reactor, interval_s, lambda: None)
    await pool.closeCachedConnections()


def draw_request(
    state: soak_state.SoakState, rng: random.Random
) -> sent_request.SentRequest | None:
    """Return the next request, or None if its kind cannot be checked now."""
    kind = rng.choices(tuple(KINDS), tuple(KINDS.values()))[0]
    now_ms = state.clock.now_ms()
    node = demand_wave.pick_node(state, rng, now_ms)
    give_up_after_ms = DEADLINE_MS
    if rng.randrange(GIVE_UP_ONE_IN) == 0:
        give_up_after_ms = rng.randint(*GIVE_UP_AFTER_MS)
    state.sent_count += 1
    target = f'/{kind}/{state.sent_count}'
    if kind in ('new', 'dropped'):
        version = pick_version(state, kind, now_ms)
        if version is None or not contact.is_bound_to_version(
            state, node, max(state.versions), now_ms
        ):
            return None
        target = f'{deployment.marker_prefix(version)}{state.sent_count}'
    return sent_request.SentRequest(
        f'q{state.sent_count}',
        kind,
        target,
        node,
        now_ms,
        now_ms + give_up_after_ms,
    )


def pick_version(
    state: soak_state.SoakState, kind: str, now_ms: int
) -> int | None:
    """Return a version whose marker route must exist, or must be dropped.

    Returns None while the newest version may not be in force yet.
    """
    newest = max(state.versions)
    settled_ms = state.versions[newest] + deployment.CONFIG_APPLY_MS
    if now_ms < settled_ms:
        return None
    return newest if kind == 'new' else newest - 1 or None


async def send(
    state: soak_state.SoakState,
    agent: client.Agent,
    request: sent_request.SentRequest,
) -> outcomes.Outcome:
    """Send a request and return its outcome at the caller."""
    address = state.cluster.nodes[request.node].http
    timeout_ms = request.give_up_at_ms - request.sent_ms
    headers = http_headers.Headers(
        {
            'host': [deployment.HOST],
            NAMES.request_id: [request.request_id],
            NAMES.deadline_ms: [str(DEADLINE_MS)],
        }
    )
    is_unsafe = request.kind == 'once'
    try:
        status, response_headers, body = await http_exchange.exchange(
            state.reactor,
            agent,
            timeout_ms / 1_000,
            b'POST' if is_unsafe else b'GET',
            f'http://{address}{request.target}',
            headers,
            BODY if is_unsafe else None,
        )
    except http_exchange.FAILURES:
        now_ms = state.clock.now_ms()
        gave_up = now_ms >= request.give_up_at_ms
        return outcomes.Outcome(request, now_ms, 0, {}, b'', gave_up)
    return outcomes.Outcome(
        request, state.clock.now_ms(), status, response_headers, body, False
    )
