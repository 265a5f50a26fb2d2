"""Checks after the last fault has ended."""

import pathlib

from twisted.internet import task
from twisted.web import client

from gypsumbridge_standins.fault_soak import answer_checks
from gypsumbridge_standins.fault_soak import callers
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import sent_request
from gypsumbridge_standins.fault_soak import soak_state

REQUESTS = 20
MAX_RSS_MB = 200


async def check_recovery(state: soak_state.SoakState) -> None:
    """Wait for the recovery bound, then check each gateway.

    Each kind of request has to be served in full, within bounded memory.
    """
    await task.deferLater(
        state.reactor, deployment.RECOVERY_MS / 1_000, lambda: None
    )
    agent = client.Agent(state.reactor, connectTimeout=1.0)
    for node in sorted(state.cluster.nodes):
        for number in range(REQUESTS):
            kind = ('all', 'one', 'once', 'new')[number % 4]
            await check_request(state, agent, node, kind)
        check_memory(state, node)


async def check_request(
    state: soak_state.SoakState, agent: client.Agent, node: str, kind: str
) -> None:
    """Send a request and check that it is served in full."""
    state.sent_count += 1
    now_ms = state.clock.now_ms()
    prefix = f'/{kind}/'
    if kind == 'new':
        prefix = deployment.marker_prefix(max(state.versions))
    request = sent_request.SentRequest(
        f'q{state.sent_count}',
        kind,
        f'{prefix}{state.sent_count}',
        node,
        now_ms,
        now_ms + callers.DEADLINE_MS,
    )
    outcome = await callers.send(state, agent, request)
    state.outcomes.append(outcome)
    state.violations += answer_checks.check_answer(outcome)
    missing = outcome.headers.get(answer_checks.NAMES.missing_parts, '0')
    if outcome.status != 200 or missing != '0':
        problem = f'not served in full after recovery, {missing} missing'
        state.violations.append(answer_checks.describe(outcome, problem))


def check_memory(state: soak_state.SoakState, node: str) -> None:
    """Check that a gateway runs and that its memory is bounded."""
    process = state.cluster.processes[node]
    if process.poll() is not None:
        state.violations.append(f'{node} ended with {process.returncode}')
        return
    text = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    fields = dict(line.split(':', 1) for line in text.splitlines())
    rss_mb = int(fields['VmRSS'].split()[0]) // 1_024
    if rss_mb > MAX_RSS_MB:
        state.violations.append(f'{node} has {rss_mb} MB resident')
