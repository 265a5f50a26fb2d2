"""Gateways, searchers and callers on a manual clock, without a network."""

import collections
import dataclasses
import heapq
import itertools
import random

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from tests.decisions.admission import searcher_model
from tests.decisions.forwarding import gateway_case

NODES = 77
COORDINATORS = 6
DOMAINS = ('d1', 'd2', 'd3')
HOP_MS = 1
DEADLINE_MS = 2_000
OBJECTIVE_MS = 800
WORK_MS = 90
Outcome = forwarding.AttemptOutcome
Result = collections.namedtuple('Result', 'customer rank target status ms')


def make_routes(gathered):
    targets = tuple(forwarding.WeightedService(name) for name in gathered)
    gather = dataclasses.replace(
        gateway_case.GATHER,
        targets=targets,
        timeout_ms=DEADLINE_MS,
        objective_ms=OBJECTIVE_MS,
        rank=1,
    )
    fetch = dataclasses.replace(gateway_case.IDEMPOTENT, rank=1)
    once = dataclasses.replace(gateway_case.NON_IDEMPOTENT, rank=1)
    return gather, fetch, once


class GatewayFleet:
    """`controlled` nodes have customers; the others decide as without them.

    `ranks` holds the rank of each customer. Callers repeat a request that was
    refused once, at another node. `results` holds what they got.
    """

    def __init__(self, controlled, ranks, gathered=('s2',), seed=1):
        self.ranks = ranks
        self.random = random.Random(seed)
        self.now_ms = 100_000
        self.events = []
        self.numbers = itertools.count(1)
        self.results = []
        self.runs = collections.Counter()
        self.rejected = 0
        self.counts = collections.Counter()
        self.callers = {}
        self.delegated = {}
        self.lost = set()
        self.searchers = {}
        self.attempts = {}
        table = gateway_case.make_table(1, make_routes(gathered))
        if controlled:
            customers = forwarding.CustomerTable(
                {
                    name: forwarding.Customer(name, rank)
                    for name, rank in ranks.items()
                },
                {name.encode(): name for name in ranks},
            )
            table = dataclasses.replace(table, customers=customers)
        entries = []
        for service in sorted({'s1', *gathered}):
            for domain in DOMAINS:
                name = f'{service}-{domain}'
                entries.append(
                    gateway_case.make_searcher(name, service, domain)
                )
                self.searchers[name] = searcher_model.SearcherModel(
                    self, 2, WORK_MS
                )
        peers = tuple(
            relaying.PeerNode(
                f'n{n}',
                '',
                DOMAINS[n % 3],
                100.0 if n < COORDINATORS else 10.0,
                f'10.0.0.9:{n}',
            )
            for n in range(NODES)
        )
        self.states = []
        for n in range(NODES):
            policy = forwarding.ForwardingPolicy(
                f'n{n}',
                DOMAINS[n % 3],
                0.2,
                194.0,
                10_000,
                control_load=True,
            )
            state = forwarding.make_forwarding_state(policy, 0)
            self.states.append(state)
            for message in (
                forwarding.FleetSizeChanged(NODES),
                forwarding.NodesChanged(peers),
                forwarding.RoutesChanged(table),
                forwarding.SearchersChanged(1, tuple(entries)),
            ):
                self.handle(n, message)

    def after(self, delay_ms, function, *arguments):
        heapq.heappush(
            self.events,
            (self.now_ms + delay_ms, next(self.numbers), function, arguments),
        )

    def run(self):
        while self.events:
            self.now_ms, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)

    def call(self, at_ms, customer, target='/one/x'):
        started_ms = self.now_ms + at_ms
        request_id = f'r-{next(self.numbers)}'
        node = self.random.randrange(NODES)
        caller = (request_id, customer, target, started_ms, True)
        self.after(at_ms, self.send, caller, node)

    def send(self, caller, node):
        if node in self.lost:
            node = COORDINATORS
        request_id, customer, target, started_ms, _ = caller
        call_id = next(self.numbers)
        self.callers[call_id] = (caller, node)
        request = forwarding.CallerRequest(
            call_id,
            request_id,
            'GET',
            'a.example',
            target,
            (),
            b'',
            started_ms + DEADLINE_MS - self.now_ms,
            self.now_ms,
            key_digest=customer.encode(),
            customer=customer,
            rank=self.ranks[customer],
        )
        self.handle(node, request)

    def unanswered(self):
        return [
            c for c, node in self.callers.values() if node not in self.lost
        ]

    def handle(self, node, message):
        if node in self.lost:
            return
        state = self.states[node]
        self.execute(node, forwarding.handle(state, message, self.now_ms))

    def execute(self, node, commands):
        for command in commands:
            match command:
                case messages.Timer():
                    self.after(
                        command.delay_ms, self.handle, node, command.event
                    )
                case forwarding.SendAttempt():
                    self.attempts[node, command.attempt_id] = command
                    self.after(HOP_MS, self.reach_searcher, node, command)
                case forwarding.CancelAttempt():
                    self.after(command.grace_ms, self.drop, node, command)
                case forwarding.CallerResponse():
                    self.respond(node, command)
                case forwarding.DelegateRequest():
                    self.after(HOP_MS, self.delegate, node, command)
                case forwarding.AcceptDelegated():
                    origin, number = self.delegated[command.call_id]
                    accepted = forwarding.DelegationAccepted(number)
                    self.after(HOP_MS, self.handle, origin, accepted)
                case forwarding.RefuseDelegated():
                    self.end_delegation(
                        command.call_id, refusal=command.reason
                    )
                case messages.Count():
                    self.counts[command.name] += command.value

    def reach_searcher(self, node, command):
        name = command.searcher.searcher_id

        def end(was_run):
            if not was_run:
                self.rejected += 1
            else:
                run = (command.request.request_id, command.searcher.service)
                self.runs[run] += 1
            self.after(HOP_MS, self.end_attempt, node, command, was_run)

        self.searchers[name].arrive(end)

    def end_attempt(self, node, command, was_run):
        if self.attempts.pop((node, command.attempt_id), None) is None:
            return
        outcome = Outcome.ANSWERED if was_run else Outcome.NOT_RUN
        self.handle(
            node,
            forwarding.AttemptEnded(
                command.attempt_id,
                outcome,
                200 if was_run else 503,
                body=b'[]',
                signature='s' if was_run else '',
            ),
        )

    def drop(self, node, command):
        if self.attempts.pop((node, command.attempt_id), None) is not None:
            ended = forwarding.AttemptEnded(command.attempt_id, Outcome.LOST)
            self.handle(node, ended)

    def delegate(self, node, command):
        coordinator = int(command.coordinator.node_id[1:])
        if coordinator in self.lost:
            return
        call_id = -next(self.numbers)
        self.delegated[call_id] = (node, command.delegation_id)
        request = dataclasses.replace(
            command.delegated.request, call_id=call_id, arrived_ms=self.now_ms
        )
        self.handle(
            coordinator,
            dataclasses.replace(command.delegated, request=request),
        )

    def end_delegation(self, call_id, **fields):
        origin, number = self.delegated.pop(call_id)
        ended = forwarding.DelegationEnded(number, **fields)
        self.after(HOP_MS, self.handle, origin, ended)

    def respond(self, node, response):
        if response.call_id < 0:
            self.end_delegation(response.call_id, response=response)
            return
        caller, _ = self.callers.pop(response.call_id)
        _, customer, target, started_ms, may_repeat = caller
        left_ms = started_ms + DEADLINE_MS - self.now_ms
        if response.status == 503 and may_repeat:
            delay_ms = min(response.retry_after_ms, left_ms // 3)
            other = (node + self.random.randrange(1, NODES)) % NODES
            if left_ms > delay_ms:
                self.after(delay_ms, self.send, (*caller[:4], False), other)
                return
        after_ms = self.now_ms - started_ms
        self.results.append(
            Result(
                customer,
                self.ranks[customer],
                target,
                response.status,
                after_ms,
            )
        )
