"""A forwarding state with routes and searchers, driven by messages."""

import dataclasses
import unittest

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages

GATHER = forwarding.Route(
    'all',
    'a.example',
    '/all/',
    True,
    (
        forwarding.WeightedService('s1'),
        forwarding.WeightedService('s2'),
        forwarding.WeightedService('s3'),
        forwarding.WeightedService('s4'),
    ),
    timeout_ms=600,
    objective_ms=100,
    rank=0,
    max_attempts=2,
    gather=forwarding.GatherRule(2, 0.75),
)
IDEMPOTENT = forwarding.Route(
    'safe',
    'a.example',
    '/one/',
    True,
    (forwarding.WeightedService('s1'),),
    timeout_ms=2_000,
    objective_ms=800,
    rank=2,
    max_attempts=2,
)
NON_IDEMPOTENT = dataclasses.replace(
    IDEMPOTENT, name='unsafe', prefix='/once/', idempotent=False
)


# More than one window of the budget before the test, so the limit of a
# process's first window does not apply.
STARTED_MS = -20_000


def make_table(version=1, routes=(GATHER, IDEMPOTENT, NON_IDEMPOTENT)):
    by_prefix = {route.prefix: route for route in routes}
    return forwarding.RouteTable(
        version,
        {'a.example': by_prefix},
        {'s1': 26, 's2': 26, 's3': 26, 's4': 26},
        forwarding.IngressLimits(),
    )


def make_searcher(name, service, domain='d1', draining=False):
    return forwarding.Searcher(
        name, service, '10.0.0.1', 80, domain, 2, draining
    )


class GatewayCase(unittest.TestCase):
    def setUp(self):
        self.now_ms = 1_000
        self.last_call_id = 0
        self.state = forwarding.make_forwarding_state(
            forwarding.ForwardingPolicy('n1', 'd1', 0.2, 54.0, 10_000),
            STARTED_MS,
        )
        # A single node has the whole fixed allowance.
        self.handle(forwarding.FleetSizeChanged(1))
        self.handle(forwarding.RoutesChanged(make_table()))
        self.publish(
            [
                make_searcher(f's{n}-{domain}', f's{n}', domain)
                for n in (1, 2, 3, 4)
                for domain in ('d1', 'd2')
            ]
        )

    def publish(self, searchers):
        self.handle(forwarding.SearchersChanged(1, tuple(searchers)))

    def handle(self, message):
        return forwarding.handle(self.state, message, self.now_ms)

    def arrive(self, target='/all/x', deadline_ms=600):
        self.last_call_id += 1
        return self.handle(
            forwarding.CallerRequest(
                self.last_call_id,
                f'r-{self.last_call_id}',
                'GET',
                'a.example',
                target,
                (),
                b'',
                deadline_ms,
                self.now_ms,
            )
        )

    def answer(self, sent, body=b'', status=200, signature='sig'):
        return self.handle(
            forwarding.AttemptEnded(
                sent.attempt_id,
                forwarding.AttemptOutcome.ANSWERED,
                status,
                (),
                body,
                signature and f'{signature}-{sent.attempt_id}',
            )
        )

    def end(self, sent, outcome, status=0):
        return self.handle(
            forwarding.AttemptEnded(sent.attempt_id, outcome, status)
        )


def sends(commands):
    return [c for c in commands if isinstance(c, forwarding.SendAttempt)]


def responses(commands):
    return [c for c in commands if isinstance(c, forwarding.CallerResponse)]


def cancels(commands):
    return [c for c in commands if isinstance(c, forwarding.CancelAttempt)]


def delegations(commands):
    return [c for c in commands if isinstance(c, forwarding.DelegateRequest)]


def cancelled_delegations(commands):
    return [c for c in commands if isinstance(c, forwarding.CancelDelegation)]


def timers(commands):
    return [c for c in commands if isinstance(c, messages.Timer)]
