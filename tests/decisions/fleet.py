"""Runs the membership of many nodes in memory on a manual clock."""

import heapq
import itertools

from gypsumbridge_decisions import membership
from gypsumbridge_decisions import messages


class Fleet:
    """Nodes joined by a link with a fixed delay.

    `is_lost` decides which messages are lost. Messages to a frozen node are
    queued until it is unfrozen.
    """

    def __init__(self, size, is_lost=lambda sender, receiver: False):
        self.now_ms = 0
        self.is_lost = is_lost
        self.events = []
        self.numbers = itertools.count()
        self.nodes = {}
        self.frozen = {}
        self.killed = set()
        self.sent = []
        self.views = {}
        self.conditions = {}
        self.announced = set()
        self.hosts = [f'n{number:04d}' for number in range(size)]
        self.listed = self.host_list()
        for name in self.hosts:
            self.start(name)

    def start(self, name, seed=''):
        own = messages.Member(name, 'fd', f'{name}:1', f'{name}:2')
        self.nodes[name] = membership.make_membership_state(own, name + seed)
        self.killed.discard(name)
        self.put(0, name, self.listed)
        self.put(0, name, membership.ProbeTick())

    def host_list(self):
        entries = [
            messages.HostEntry(h, 'node', 'fd', f'{h}:1', f'{h}:2', False)
            for h in self.hosts
        ]
        return messages.HostList(tuple(entries))

    def put(self, delay_ms, name, message):
        at_ms = self.now_ms + delay_ms
        state = self.nodes.get(name)
        event = (at_ms, next(self.numbers), name, message, state)
        heapq.heappush(self.events, event)

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.events and self.events[0][0] <= end_ms:
            at_ms, _, name, message, state = heapq.heappop(self.events)
            self.now_ms = at_ms
            if name in self.killed or state is not self.nodes.get(name):
                continue
            if name in self.frozen:
                self.frozen[name].append(message)
                continue
            self.handle(name, message)
        self.now_ms = end_ms

    def handle(self, name, message):
        state = self.nodes.get(name)
        for command in membership.handle(state, message, self.now_ms):
            self.execute(name, command)

    def execute(self, name, command):
        match command:
            case messages.Timer():
                self.put(command.delay_ms, name, command.event)
            case messages.ToAddress():
                self.sent.append((name, command))
                if not self.is_lost(name, command.node_id):
                    self.put(2, command.node_id, command.message)
            case messages.MembersChanged():
                self.views[name] = {
                    m.node_id: m.state for m in command.members
                }
            case messages.ServingCondition():
                self.conditions[name] = command
            case messages.LeavingAnnounced():
                self.announced.add(name)

    def freeze(self, name):
        self.frozen[name] = []

    def unfreeze(self, name):
        for message in self.frozen.pop(name):
            self.put(0, name, message)

    def member_state(self, name, subject):
        record = self.nodes[name].records.get(subject)
        return None if record is None else record.member.state

    def serves(self, name):
        condition = self.conditions[name]
        if condition.refusal:
            return False
        return self.now_ms < condition.valid_until_ms
