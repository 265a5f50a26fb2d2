"""One randomised run of a fleet under faults."""

from gypsumbridge_decisions import quotas
from gypsumbridge_decisions.quotas import entitlement
from tests.decisions.quotas import quota_fleet

NODES = 8
START_MS = 6_000
STARTED_MS = 12_000
FAULTS_MS = 14_000
# Faults end here; all of them have passed when the second calm begins.
RECOVERY_MS = 64_000
CALM_AGAIN_MS = 105_000
END_MS = 115_000
FAULT_INTERVAL_MS = 2_500
STEP_MS = 50
# In each cycle, a tour of the nodes with some requests at each, a pause in
# which the buckets fill up, more than enough requests for a whole window, and
# another pause.
TOUR_MS = 12_000
BUNCH_MS = 450
BURST_MS = 18_000
BURST_END_MS = 25_000
CYCLE_MS = 30_000
HOT = 'hot'
SLOW = 'slow'
CALM = 'calm'
LIMITS = {
    HOT: quotas.Quota(8.0, 40.0),
    SLOW: quotas.Quota(0.8, 20.0),
    CALM: quotas.Quota(4.0, 4.0),
}
LOWERED = quotas.Quota(4.0, 20.0)
# A short term leaves time for several takeovers in one run.
TTL_MS = 8_000
# A small slack and overshoot leave little room for what the bound excludes.
POLICY = quotas.QuotaPolicy('', '', 5_000, 0.05, 2.0, 5, TTL_MS, True)


class FaultRun:
    """A fleet, its callers and the faults that a seed draws.

    Two customers ask for several times their limits, at one node after the
    other and then at all at once. The calm one asks for half of its limit.
    """

    def __init__(self, seed):
        self.fleet = quota_fleet.QuotaFleet(NODES, POLICY, LIMITS, seed)
        self.random = self.fleet.random
        self.calm_calls = []
        self.lowered_ms = self.random.randrange(FAULTS_MS, RECOVERY_MS)
        self.binding_ms = None
        self.shared = set()
        self.started = False

    def run(self):
        fleet = self.fleet
        fleet.run_until(START_MS)
        # A late write of a first entry delays the end of the start.
        while fleet.now_ms < STARTED_MS and not self.all_held():
            fleet.run_until(fleet.now_ms + STEP_MS)
        self.started = self.all_held()
        next_fault_ms = FAULTS_MS
        next_calm_ms = fleet.now_ms
        while fleet.now_ms < END_MS:
            if next_fault_ms <= fleet.now_ms < RECOVERY_MS:
                next_fault_ms += self.random.randint(500, FAULT_INTERVAL_MS)
                self.bring_fault()
            if fleet.now_ms >= self.lowered_ms and fleet.store.version == 1:
                fleet.store.version = 2
                fleet.store.quotas = {**fleet.store.quotas, HOT: LOWERED}
            self.note_binding()
            self.note_holders()
            self.send_hot()
            if fleet.now_ms >= next_calm_ms:
                self.calm_calls.append(fleet.request(self.any_node(), CALM))
                next_calm_ms += self.random.randint(350, 700)
            fleet.run_until(fleet.now_ms + STEP_MS)

    def all_held(self):
        """Return whether all partitions have a holder that has begun."""
        held = {
            part.number
            for node in self.fleet.nodes.values()
            for part in node.state.partitions
            if part.holding.begin_ms is not None
        }
        return len(held) == POLICY.partitions

    def any_node(self):
        return self.random.choice(list(self.fleet.nodes))

    def send_hot(self):
        """Ask below the limit at one node after the other, so that each has
        tokens left; then pause, and ask far above it at all nodes.
        """
        names = list(self.fleet.nodes)
        phase_ms = self.fleet.now_ms % CYCLE_MS
        if phase_ms < TOUR_MS:
            number, part_ms = divmod(phase_ms, TOUR_MS // NODES)
            names = names[number : number + 1] * (part_ms < BUNCH_MS)
        elif not BURST_MS <= phase_ms < BURST_END_MS or phase_ms % 100:
            return
        for name in names:
            self.fleet.request(name, HOT)
            self.fleet.request(name, SLOW)

    def note_binding(self):
        """Record when the last process has learnt the lower limit."""
        if self.fleet.store.version == 1 or self.binding_ms is not None:
            return
        running = [n for n in self.fleet.nodes.values() if n.state is not None]
        if all(node.version == 2 for node in running):
            self.binding_ms = self.fleet.now_ms

    def note_holders(self):
        """Record the partitions for which two nodes are entitled."""
        entitled = []
        for node in self.fleet.nodes.values():
            if node.state is None:
                continue
            clock_ms = self.fleet.now_ms + node.offset_ms
            for part in node.state.partitions:
                if entitlement.may_grant(part.holding, TTL_MS, clock_ms):
                    entitled.append(part.number)
        self.shared |= {p for p in entitled if entitled.count(p) > 1}

    def any_victim(self):
        """Return a node; more often than not, one that holds a partition."""
        holders = [r.node_id for r in self.fleet.store.entries.values()]
        return self.random.choice(holders + list(self.fleet.nodes))

    def bring_fault(self):
        fleet = self.fleet
        name = self.any_victim()
        node = fleet.nodes[name]
        for_ms = self.random.choice((300, 2_000, 6_000, 20_000))
        match self.random.randrange(9):
            case 0:
                fleet.freeze(name, for_ms)
            case 1:
                self.kill(name, for_ms)
            case 2:
                # A process that ends again and again.
                for delay_ms in (0, 1_500, 3_000):
                    fleet.after(delay_ms, self.kill, name, 100)
                    other = self.any_victim()
                    fleet.after(delay_ms + 700, self.kill, other, 100)
            case 3 | 4:
                for_ms = self.random.choice((6_000, 20_000, 26_000))
                others = {self.any_victim() for _ in range(3)}
                self.split({name, *others}, for_ms)
            case 5:
                node.store_cut_until_ms = fleet.now_ms + for_ms
            case 6:
                fleet.store.away_until_ms = fleet.now_ms + for_ms
            case 7:
                # The copy is some seconds old when the store comes back.
                fleet.store.keep_copy()
                fleet.after(self.random.randint(500, 5_000), self.restore)
            case _:
                if len(fleet.nodes) < NODES + 3:
                    number = len(fleet.nodes)
                    fleet.add_node(f'n{number}', 'abc'[number % 3])

    def kill(self, name, restart_ms):
        if self.fleet.nodes[name].state is not None:
            self.fleet.kill(name, restart_ms)

    def split(self, names, for_ms):
        """Cut some nodes from the others and from the store."""
        fleet = self.fleet
        for name in names:
            node = fleet.nodes[name]
            until_ms = fleet.now_ms + for_ms
            node.store_cut_until_ms = until_ms
            for other in set(fleet.nodes) - names:
                node.cut_until_ms[other] = until_ms

    def restore(self):
        store = self.fleet.store
        store.restore(self.fleet.now_ms)
        store.away_until_ms = self.fleet.now_ms + 400

    def violations(self):
        """Return what the run has shown against the bound and the service."""
        fleet = self.fleet
        found = [f'two holders of partition {p}' for p in self.shared]
        if not self.started:
            found.append('a partition without a holder after the start')
        for customer, quota in LIMITS.items():
            used = fleet.largest_window(customer)
            if used > quotas.window_bound(quota, POLICY):
                found.append(f'{customer}: {used} in a window')
        if self.binding_ms is not None:
            since_ms = self.binding_ms + POLICY.window_ms
            used = fleet.largest_window(HOT, since_ms)
            if used > quotas.window_bound(LOWERED, POLICY):
                found.append(f'lowered: {used} in a window')
        for call_id in self.calm_calls:
            sent_ms = fleet.requests[call_id][0]
            if FAULTS_MS - 1_000 < sent_ms < CALM_AGAIN_MS:
                continue
            outcome = fleet.outcome(call_id)
            if outcome != quotas.AdmissionOutcome.ADMITTED:
                found.append(f'calm request at {sent_ms}: {outcome}')
        return found
