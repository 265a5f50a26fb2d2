"""Nodes that run the quota decisions, with in-memory links and a store.

All nodes share one time; each has a clock of its own that differs by a fixed
offset. A frozen node handles its messages after it wakes.
"""

import dataclasses
import heapq
import random

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import quotas
from gypsumbridge_decisions import relaying

SYNC_INTERVAL_MS = 1_000
LINK_MS = (1, 3)
STORE_MS = (1, 4)
DOMAINS = ('a', 'b', 'c')


class Store:
    """The entries of the holders, with conditional writes and eras."""

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.era = 0
        self.away_until_ms = 0
        self.older = {}
        self.history = [(0, 0, {})]
        self.version = 1
        self.quotas = {}

    def write(self, record, now_ms):
        """Return the new revision, 0 if the entry has changed."""
        current = self.entries.get(record.partition)
        if (current.revision if current else 0) != record.revision:
            return 0
        self.revision += 1
        self.entries[record.partition] = dataclasses.replace(
            record, revision=self.revision, era=self.era
        )
        self.history.append((now_ms, self.era, dict(self.entries)))
        return self.revision

    def keep_copy(self):
        self.older = dict(self.entries)

    def copy_at(self, at_ms):
        """Return the era and the entries at a time."""
        known = [h for h in self.history if h[0] <= at_ms]
        return known[-1][1:] if known else (0, {})

    def restore(self, now_ms):
        """Come back from the copy, with revisions that are reissued."""
        self.era += 1
        self.entries = {
            number: dataclasses.replace(record, era=self.era)
            for number, record in self.older.items()
        }
        self.revision = max(
            (r.revision for r in self.entries.values()), default=0
        )
        self.history.append((now_ms, self.era, dict(self.entries)))


class Node:
    """One process, its faults, and the messages that wait while it is
    frozen.
    """

    def __init__(self, node_id, domain, offset_ms):
        self.peer = relaying.PeerNode(node_id, f'{node_id}:1', domain, 1.0)
        self.offset_ms = offset_ms
        self.process = 0
        self.state = None
        self.cut_until_ms = {}
        self.store_cut_until_ms = 0
        self.version = 0
        self.peers = ()
        self.copied_ms = 0
        self.frozen_until_ms = 0


class QuotaFleet:
    """Runs the decisions of all nodes in one order of time.

    `admitted` holds the time of each admitted request by customer, `results`
    the result of each request by call id.
    """

    def __init__(self, count, policy, limits, seed=0):
        self.random = random.Random(seed)
        self.policy = policy
        self.now_ms = 0
        self.events = []
        self.sequence = 0
        self.store = Store()
        self.store.quotas = dict(limits)
        self.nodes = {}
        self.admitted = {name: [] for name in limits}
        self.results = {}
        self.requests = {}
        self.messages = 0
        self.decisions = []
        for number in range(count):
            self.add_node(f'n{number}', DOMAINS[number % len(DOMAINS)])

    def add_node(self, node_id, domain):
        node = Node(node_id, domain, self.random.randrange(1_000_000))
        self.nodes[node_id] = node
        self.start(node_id, self.random.randrange(50))

    def start(self, node_id, delay_ms):
        node = self.nodes[node_id]
        node.process += 1
        node.frozen_until_ms = 0
        node.copied_ms = 0
        node.version = 0
        node.peers = ()
        policy = dataclasses.replace(
            self.policy,
            node_id=node_id,
            failure_domain=node.peer.failure_domain,
        )
        node.state = quotas.make_quota_state(policy)
        self.after(delay_ms, self.sync, node_id, node.process)

    def kill(self, node_id, restart_ms):
        """End a process; it starts again after a time, or never if None."""
        node = self.nodes[node_id]
        node.process += 1
        node.state = None
        if restart_ms is not None:
            self.after(restart_ms, self.start, node_id, 0)

    def freeze(self, node_id, for_ms):
        self.nodes[node_id].frozen_until_ms = self.now_ms + for_ms

    def after(self, delay_ms, call, *values):
        self.sequence += 1
        item = (self.now_ms + delay_ms, self.sequence, call, values)
        heapq.heappush(self.events, item)

    def run_until(self, end_ms):
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, call, values = heapq.heappop(self.events)
            call(*values)
        self.now_ms = end_ms

    def linked(self, one, other):
        there_ms = self.nodes[one].cut_until_ms.get(other, 0)
        back_ms = self.nodes[other].cut_until_ms.get(one, 0)
        return max(there_ms, back_ms) <= self.now_ms

    def deliver(self, node_id, process, message):
        """Handle a message, unless its process is gone or is frozen."""
        node = self.nodes[node_id]
        if node.process != process or node.state is None:
            return
        if node.frozen_until_ms > self.now_ms:
            wait_ms = node.frozen_until_ms - self.now_ms
            self.after(wait_ms, self.deliver, node_id, process, message)
            return
        clock_ms = self.now_ms + node.offset_ms
        for command in quotas.handle(node.state, message, clock_ms):
            self.execute(node_id, process, command)

    def execute(self, node_id, process, command):
        match command:
            case quotas.AdmissionResult():
                self.results[command.call_id] = (self.now_ms, command)
                if command.outcome == quotas.AdmissionOutcome.ADMITTED:
                    customer = self.requests[command.call_id][1]
                    self.admitted[customer].append(self.now_ms)
            case quotas.AskHolder():
                self.messages += 1
                self.ask(node_id, process, command)
            case quotas.WriteHolder():
                self.write(node_id, process, command.record)
            case messages.Timer():
                self.after(
                    command.delay_ms,
                    self.deliver,
                    node_id,
                    process,
                    command.event,
                )
            case messages.Decision():
                self.decisions.append((self.now_ms, node_id, command))

    def ask(self, node_id, process, command):
        """Carry a request for tokens and its reply, or time out."""
        ended = []

        def end(message):
            if not ended:
                ended.append(True)
                self.deliver(node_id, process, message)

        failed = quotas.HolderFailed(command.ask_id, 'timeout')
        self.after(command.timeout_ms, end, failed)
        target = command.peer.node_id

        def arrive():
            if not self.linked(node_id, target):
                return
            node = self.nodes[target]
            if node.state is None:
                return
            if node.frozen_until_ms > self.now_ms:
                self.after(node.frozen_until_ms - self.now_ms, arrive)
                return
            clock_ms = self.now_ms + node.offset_ms
            asked = quotas.GrantAsked(1, command.request)
            for answer in quotas.handle(node.state, asked, clock_ms):
                if not isinstance(answer, quotas.AnswerGrant):
                    self.execute(target, node.process, answer)
                    continue
                self.messages += 1
                if self.linked(node_id, target):
                    reply = quotas.HolderAnswered(command.ask_id, answer.reply)
                    self.after(self.random.randint(*LINK_MS), end, reply)

        self.after(self.random.randint(*LINK_MS), arrive)

    def store_reachable(self, node_id):
        cut_ms = self.nodes[node_id].store_cut_until_ms
        return max(cut_ms, self.store.away_until_ms) <= self.now_ms

    def write(self, node_id, process, record):
        """Write an entry; the result may be lost, the write may be late."""
        written = quotas.HolderWritten

        def apply():
            result = written(record.partition, 0)
            if self.store_reachable(node_id):
                revision = self.store.write(record, self.now_ms)
                result = written(record.partition, revision, not revision)
                if self.random.random() < 0.1:
                    result = written(record.partition, 0)
            self.after(2, self.deliver, node_id, process, result)

        late = self.random.random() < 0.05
        self.after(3_000 if late else self.random.randint(*STORE_MS), apply)

    def sync(self, node_id, process):
        """Read the store, in part through a relay, whose copy is older."""
        node = self.nodes[node_id]
        if node.process != process:
            return
        self.after(SYNC_INTERVAL_MS, self.sync, node_id, process)
        frozen = node.frozen_until_ms > self.now_ms
        if frozen or not self.store_reachable(node_id):
            return
        proven_ms = self.now_ms - self.random.choice((0, 0, 900))
        copy = self.store.copy_at(proven_ms)
        slow = self.random.random() < 0.02
        delay_ms = 1_500 if slow else self.random.randint(*STORE_MS)
        self.after(delay_ms, self.end_sync, node_id, process, proven_ms, copy)

    def end_sync(self, node_id, process, proven_ms, copy):
        """Report a copy, unless the node has a newer one by now."""
        node = self.nodes[node_id]
        if node.process != process:
            return
        if node.frozen_until_ms > self.now_ms:
            values = (node_id, process, proven_ms, copy)
            wait_ms = node.frozen_until_ms - self.now_ms
            self.after(wait_ms, self.end_sync, *values)
            return
        if proven_ms < node.copied_ms:
            return
        node.copied_ms = proven_ms
        node.version = self.store.version
        era, entries = copy
        clock_ms = self.now_ms + node.offset_ms
        peers = tuple(other.peer for other in self.nodes.values())
        if peers != node.peers:
            node.peers = peers
            self.deliver(node_id, process, forwarding.NodesChanged(peers))
        for report in (
            quotas.QuotasChanged(node.version, dict(self.store.quotas)),
            quotas.HoldersChanged(tuple(entries.values())),
            forwarding.CopyConfirmed(
                clock_ms, proven_ms + node.offset_ms, era
            ),
        ):
            self.deliver(node_id, process, report)

    def request(self, node_id, customer, left_ms=900):
        """Send one request of a customer to a node; return its call id."""
        call_id = len(self.requests) + 1
        self.requests[call_id] = (self.now_ms, customer, node_id)
        node = self.nodes[node_id]
        message = quotas.AdmissionRequest(
            call_id, f'r{call_id}', customer, left_ms
        )
        self.deliver(node_id, node.process, message)
        self.after(
            left_ms,
            self.deliver,
            node_id,
            node.process,
            quotas.AdmissionCancelled(call_id),
        )
        return call_id

    def outcome(self, call_id):
        """Return the outcome of a request, or None without one."""
        result = self.results.get(call_id)
        return None if result is None else result[1].outcome

    def largest_window(self, customer, since_ms=0):
        """Return the most requests admitted in one window."""
        times = [t for t in self.admitted[customer] if t >= since_ms]
        largest = first = 0
        for last, at_ms in enumerate(times):
            while times[first] < at_ms - self.policy.window_ms:
                first += 1
            largest = max(largest, last - first + 1)
        return largest
