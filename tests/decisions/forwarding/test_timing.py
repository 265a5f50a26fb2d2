import random

from gypsumbridge_decisions import forwarding
from tests.decisions.forwarding import gateway_case


class TimingTest(gateway_case.GatewayCase):
    def request(self, network_ms):
        return forwarding.CallerRequest(
            1, 'r', 'GET', 'a.example', '/', (), b'', 600, 0, network_ms
        )

    def test_the_network_time_is_subtracted_from_the_objective(self):
        """Guards against responses that are late only at the caller."""
        route = gateway_case.GATHER
        near = self.answer_after(route, 2.0)
        far = self.answer_after(route, 12.5)
        self.assertEqual((92, 82), (near, far))
        self.assertEqual(54, self.answer_after(route, 500.0))

    def answer_after(self, route, network_ms):
        request = self.request(network_ms)
        return forwarding.answer_after_ms(self.state, route, request)

    def test_a_busy_node_answers_earlier(self):
        """Guards against partial responses that are sent slightly too late."""
        route = gateway_case.GATHER
        idle_ms = self.answer_after(route, 2.0)
        for _ in range(50):
            self.handle(forwarding.ObjectiveTimer(0, self.now_ms - 4))
            self.handle(forwarding.ResponseWritten('all', 7))
        self.assertAlmostEqual(
            idle_ms - 8, self.answer_after(route, 2.0), delta=1
        )

    def test_nothing_is_sent_after_the_deadline(self):
        """Guards against a paused node that works for nobody when it wakes."""
        sent = gateway_case.sends(self.arrive())
        self.now_ms += 600
        commands = self.handle(forwarding.HedgeTimer(self.last_call_id))
        self.assertEqual([], gateway_case.sends(commands))
        lost = self.end(sent[0], forwarding.AttemptOutcome.LOST)
        self.assertEqual([], gateway_case.sends(lost))

    def test_the_answer_delay_is_measured_when_a_response_is_written(self):
        """Guards against a margin that fits only one kind of machine."""
        sent = gateway_case.sends(self.arrive())
        for found in sent[:3]:
            self.answer(found, b'x' * 16)
        timer = forwarding.ObjectiveTimer(self.last_call_id, self.now_ms - 2)
        (response,) = gateway_case.responses(self.handle(timer))
        self.assertEqual('all', response.objective_route)
        self.assertEqual(self.now_ms - 2, response.due_ms)

    def test_uneven_delays_increase_the_margin(self):
        """Guards against using the mean, which many responses exceed."""
        route = gateway_case.GATHER
        self.answer_after(route, 2.0)
        for number in range(100):
            late_ms = 2 if number % 2 else 12
            self.handle(forwarding.ResponseWritten('all', late_ms))
        steady_ms = 100 - 2 - 2 - 7
        self.assertLess(self.answer_after(route, 2.0), steady_ms - 5)

    def test_a_route_with_time_to_spare_hedges_fewer_attempts(self):
        """Guards against spending the budget where hedges help least."""
        window = forwarding.latency_window_for(self.state, gateway_case.GATHER)
        for latency_ms in range(1, 41):
            window.add(latency_ms)
        self.assertEqual((31, 37), (window.p75_ms, window.p90_ms))
        delay = forwarding.hedge_delay_ms
        route = gateway_case.GATHER
        self.assertEqual(37, delay(self.state, route, 200))
        self.assertEqual(31, delay(self.state, route, 60))

    def test_slow_attempts_count_in_the_latencies(self):
        """Guards against hedges that shorten the delay of later hedges."""
        window = forwarding.latency_window_for(
            self.state, gateway_case.IDEMPOTENT
        )
        for _ in range(10):
            (sent,) = gateway_case.sends(self.arrive('/one/x', 2_000))
            hedged = gateway_case.sends(
                self.handle(forwarding.HedgeTimer(self.last_call_id))
            )
            self.assertEqual(1, len(hedged))
            self.now_ms += 10
            self.answer(hedged[0])
            self.now_ms += 190
            self.answer(sent)
        self.assertEqual(20, len(window.samples))
        self.assertEqual(200, window.p90_ms)


class RetryBudgetTest(gateway_case.GatewayCase):
    RATIO = 0.2
    WINDOW_MS = 10_000

    def test_no_window_exceeds_the_fleets_budget(self):
        """Guards against shares that add up to more than the budget.

        Nodes spend as much as they may, traffic is uneven and bursty, and
        every node restarts once.
        """
        for seed in range(20):
            with self.subTest(seed=seed):
                self.run_fleet(random.Random(seed), 9, 58.0)
                self.run_fleet(random.Random(seed), 83, 206.0)

    def run_fleet(self, rng, nodes, allowance):
        fixed = forwarding.fixed_share(allowance, nodes)

        def make_budget(now_ms):
            return forwarding.RetryBudget(
                self.RATIO, fixed, self.WINDOW_MS, now_ms
            )

        budgets = [make_budget(0) for _ in range(nodes)]
        restart_ms = rng.randrange(10_000, 20_000)
        restarted = set()
        requests = []
        extras = []
        now_ms = 0
        while now_ms < 30_000:
            rate = rng.choice((5, 50, 400))
            now_ms += int(rng.expovariate(rate) * 1000)
            node = min(int(rng.expovariate(4 / nodes)), nodes - 1)
            if now_ms > restart_ms and node not in restarted:
                restarted.add(node)
                budgets[node] = make_budget(now_ms)
            budgets[node].count_request(now_ms)
            requests.append(now_ms)
            while budgets[node].spend(now_ms):
                extras.append(now_ms)
        for end in extras:
            begin = end - self.WINDOW_MS
            spent = sum(begin < t <= end for t in extras)
            requested = sum(begin < t <= end for t in requests)
            self.assertLessEqual(spent, self.RATIO * requested + allowance)

    def test_a_large_fleets_node_hedges_two_requests_in_a_row(self):
        """Guards against parts without a hedge while budget is unused.

        On abl-gypsum-grown scale-1 half of the missing parts had no hedge:
        a node had one attempt available, and the next one 6.6 s later.
        """
        fixed = forwarding.fixed_share(206.0, 83)
        budget = forwarding.RetryBudget(
            self.RATIO, fixed, self.WINDOW_MS, -self.WINDOW_MS
        )
        hedged = 0
        for now_ms in (1_000, 4_000):
            budget.count_request(now_ms)
            hedged += budget.spend(now_ms)
        self.assertEqual(2, hedged)

    def test_a_restarted_node_begins_with_one_attempt(self):
        """Guards against a share that is spent twice in one window."""
        budget = forwarding.RetryBudget(0.0, 5.2, self.WINDOW_MS, 50_000)
        spent = sum(budget.spend(59_000) for _ in range(9))
        self.assertEqual(1, spent)

    def test_extras_count_for_a_whole_window(self):
        """Guards against a share that is available again too early."""
        budget = forwarding.RetryBudget(0.0, 3.0, self.WINDOW_MS, -60_000)
        times = [
            now_ms for now_ms in range(0, 40_000, 7) if budget.spend(now_ms)
        ]
        for index, begin in enumerate(times):
            within = [t for t in times[index:] if t - begin < self.WINDOW_MS]
            self.assertLessEqual(len(within), 3)
        self.assertGreaterEqual(len(times), 9)
