"""Runs the configuration of many nodes in memory on a manual clock."""

import heapq

from gypsumbridge_decisions import configuration
from gypsumbridge_decisions import messages
from gypsumbridge_standins.store import operations
from gypsumbridge_standins.store import store_state

HOP_MS = 1
OPERATIONS = messages.StoreOperation


class Fleet:
    """Nodes and a store, joined by links with a fixed delay.

    `cuts` holds the broken links as pairs of nodes or (node, 'store').
    Messages to `crashed` nodes are lost, those to `paused` nodes are
    delivered on resume.
    """

    def __init__(self, domains, nodes_per_domain):
        self.now_ms = 1_000
        self.domains = domains
        self.members = tuple(
            messages.Member(f'{domain}{number}', domain, '', '')
            for domain in domains
            for number in range(nodes_per_domain)
        )
        self.store = store_state.StoreState(10**6, 10**6)
        self.store_down = False
        self.store_calls = 0
        self.cuts, self.crashed, self.paused = set(), set(), []
        self.delayed, self.watches = [], []
        self.queue, self.sequence = [], 0
        self.states, self.serving, self.published = {}, {}, {}
        self.reports, self.sent = {}, []
        for member in self.members:
            self.start(member)

    def start(self, member):
        """Start a node, or restart it with empty state."""
        node_id = member.node_id
        self.crashed.discard(node_id)
        self.states[node_id] = configuration.make_configuration_state(
            node_id, member.failure_domain, self.domains, self.now_ms
        )
        self.serving[node_id] = messages.ServingCondition('', 'starting')
        self.published[node_id] = []
        self.put(node_id, messages.MembersChanged(self.members), 0)
        self.put(node_id, configuration.Tick(), 0)

    def restart(self, node_id):
        self.start(next(m for m in self.members if m.node_id == node_id))

    def put(self, node_id, message, delay_ms):
        self.sequence += 1
        entry = (
            self.now_ms + delay_ms,
            self.sequence,
            node_id,
            self.states[node_id],
            message,
        )
        heapq.heappush(self.queue, entry)

    def run(self, for_ms):
        end_ms = self.now_ms + for_ms
        while self.queue and self.queue[0][0] <= end_ms:
            self.now_ms, _, node_id, state, message = heapq.heappop(self.queue)
            if node_id in self.crashed or state is not self.states[node_id]:
                continue
            if node_id in self.paused:
                self.delayed.append((node_id, message))
                continue
            commands = configuration.handle(state, message, self.now_ms)
            self.execute(node_id, commands)
        self.now_ms = end_ms

    def resume(self, node_id):
        """Deliver the delayed messages to the node, all at once."""
        self.paused.remove(node_id)
        for delayed_id, message in self.delayed:
            self.put(delayed_id, message, 0)
        self.delayed = []

    def execute(self, node_id, commands):
        for command in commands:
            match command:
                case messages.ToPeer():
                    self.send(node_id, command)
                case messages.Timer():
                    self.put(node_id, command.event, command.delay_ms)
                case messages.StoreRequest():
                    self.call_store(node_id, command)
                case messages.ServingCondition():
                    self.serving[node_id] = command
                case configuration.Publish():
                    self.published[node_id].append(command.revision)
                case messages.AcceptedReport() | messages.ForceReport():
                    self.reports[command.token] = command

    def send(self, node_id, command):
        self.sent.append((node_id, command.message))
        pair = frozenset((node_id, command.node_id))
        if pair not in self.cuts:
            self.put(command.node_id, command.message, HOP_MS)

    def call_store(self, node_id, request):
        self.store_calls += 1
        if self.store_down or frozenset((node_id, 'store')) in self.cuts:
            status = messages.StoreStatus.UNAVAILABLE
            reply = messages.StoreReply(request.token, status)
            self.put(node_id, reply, HOP_MS)
            return
        if request.operation == OPERATIONS.LIST:
            _, body = operations.list_prefix(self.store, request.key)
        else:
            _, body = operations.events_after(
                self.store, request.key, request.after_revision
            )
            if request.wait_ms and not body['items']:
                self.watches.append((node_id, request))
                return
        items = tuple(messages.StoreItem(**item) for item in body['items'])
        reply = messages.StoreReply(
            request.token, messages.StoreStatus.OK, body['revision'], items
        )
        self.put(node_id, reply, HOP_MS)

    def write(self, key, value='v'):
        """Write to the store, complete the watches and return the revision."""
        expected = self.store.items.get(key, ('', 0))[1]
        _, body = operations.write(self.store, key, value, expected)
        watches, self.watches = self.watches, []
        for node_id, request in watches:
            self.call_store(node_id, request)
        return body['revision']

    def cut(self, left, right):
        """Break the links between every node of one side and the other."""
        self.cuts |= {frozenset((a, b)) for a in left for b in right}

    def send_request(self, node_id, request, for_ms):
        commands = configuration.handle(
            self.states[node_id], request, self.now_ms
        )
        self.execute(node_id, commands)
        self.run(for_ms)
        return self.reports.get(request.token)

    def accepted(self, node_id, revision, wait_ms=5_000):
        token = f'{node_id} {revision} {self.now_ms}'
        request = messages.AwaitAccepted(token, revision, wait_ms)
        return self.send_request(node_id, request, wait_ms).accepted

    def revision(self, node_id):
        return self.states[node_id].core.revision

    def serves(self, node_id):
        """Return whether the front would accept new work now."""
        condition = self.serving[node_id]
        if condition.refusal:
            return False
        return self.now_ms < condition.valid_until_ms

    def serving_nodes(self):
        return sorted(n for n in self.states if self.serves(n))
