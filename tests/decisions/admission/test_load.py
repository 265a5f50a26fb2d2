"""What callers get under load, compared with nodes that have no customers.

Each load is drawn once and given to both. The searchers of service `s1` have
6 slots and 90 ms of work a request, which is 65 requests a second.
"""

import random
import unittest

from gypsumbridge_decisions import admission
from tests.decisions.admission import gateway_fleet

USUAL = tuple(f'c{n}' for n in range(20))
RANKS = {**dict.fromkeys(USUAL, 1), 'one': 1, 'urgent': 0}
MAX_ATTEMPTS = 2
# Searchers without a queue are idle for two hops after each run.
SLOT_MS = gateway_fleet.WORK_MS + 2 * gateway_fleet.HOP_MS
BUSY_SHARE = gateway_fleet.WORK_MS / SLOT_MS
CAPACITY = 6 * 1_000 / SLOT_MS
SHARED = ('s1', 's2', 's3', 's4')


def draw(fleet, rate, start_s, end_s, customers, target='/one/x'):
    """Adds requests at random times with `rate` a second on average."""
    drawn = random.Random(f'{rate} {customers} {target}')
    at_ms = start_s * 1_000
    while (at_ms := at_ms + drawn.expovariate(rate) * 1_000) < end_s * 1_000:
        fleet.call(int(at_ms), drawn.choice(customers), target)


def slow_down(fleet, start_s, end_s):
    for at_s, factor in ((start_s, 8), (end_s, 1)):
        searcher = fleet.searchers['s1-d2']
        fleet.after(at_s * 1_000, setattr, searcher, 'slow_factor', factor)


class LoadTest(unittest.TestCase):
    def run_both(self, load, gathered=('s2',)):
        """Returns the present and the new results."""
        fleets = []
        for controlled in (False, True):
            fleet = gateway_fleet.GatewayFleet(controlled, RANKS, gathered)
            load(fleet)
            fleet.run()
            self.assertEqual([], fleet.unanswered())
            fleets.append(fleet)
        # No searcher runs a request more often than the route allows.
        self.assertLessEqual(max(fleets[1].runs.values()), MAX_ATTEMPTS)
        return fleets

    def served(self, fleet, customers=RANKS, target='/one/x'):
        """Returns how many were sent, served, and served in time."""
        sent = [
            r
            for r in fleet.results
            if r.customer in customers and r.target == target
        ]
        found = [r.ms for r in sent if r.status == 200]
        in_time = [ms for ms in found if ms <= gateway_fleet.OBJECTIVE_MS]
        return len(sent), len(found), len(in_time)

    def test_a_burst_while_a_searcher_is_slow(self):
        """Guards against rejections by searchers, and waits at the slow one.

        Callers send 3.4 times as many for 5 s. At the rate that was seen, 15
        requests a second, two searchers could run them all; at 44 they are
        busy. Without a queue there, nothing is rejected.
        """
        for usual in (4.4, 13):
            with self.subTest(usual=usual):

                def load(fleet, rate=usual):
                    draw(fleet, rate, 0, 30, USUAL)
                    draw(fleet, 2.4 * rate, 15, 20, USUAL)
                    slow_down(fleet, 15, 20)

                before, after = self.run_both(load)
                _, served, in_time = self.served(after)
                _, served_before, in_time_before = self.served(before)
                self.assertGreaterEqual(served, served_before)
                self.assertGreaterEqual(in_time, in_time_before * BUSY_SHARE)
                self.assertEqual(0, after.rejected)

    def test_a_slow_searcher(self):
        """Guards against requests that wait at it until their deadline."""

        def load(fleet):
            draw(fleet, 30, 0, 30, USUAL)
            slow_down(fleet, 10, 25)

        before, after = self.run_both(load)
        sent, served, in_time = self.served(after)
        self.assertEqual(sent, served)
        self.assertGreater(in_time, self.served(before)[2])

    def test_one_customer_sends_more_than_usual(self):
        """Guards against others that pay for 7.5 times its usual rate.

        It takes the service from 46 requests a second to 85.
        """

        def load(fleet):
            draw(fleet, 40, 0, 30, USUAL)
            draw(fleet, 6, 0, 30, ('one',))
            draw(fleet, 39, 15, 21, ('one',))

        before, after = self.run_both(load)
        sent, _, in_time = self.served(after, USUAL)
        self.assertEqual(sent, in_time)
        self.assertLess(self.served(before, USUAL)[2], sent)

    def test_an_urgent_burst(self):
        """Guards against urgent requests behind others, which keep a floor."""

        def load(fleet):
            draw(fleet, 45, 0, 30, USUAL)
            draw(fleet, 5, 0, 30, ('urgent',))
            draw(fleet, 45, 15, 20, ('urgent',))

        before, after = self.run_both(load)
        sent, _, in_time = self.served(after, ('urgent',))
        self.assertEqual(sent, in_time)
        self.assertLess(self.served(before, ('urgent',))[2], sent)
        # 55 slots a second are left to the others, of which they want 45.
        others = self.served(after, USUAL)[1]
        self.assertGreaterEqual(others, 30 * 45 - 5 * 45)

    def test_an_overload_by_the_most_urgent_rank(self):
        """Guards against a rank that is starved: its floor is a tenth."""

        def load(fleet):
            draw(fleet, 100, 10, 20, ('urgent',))
            draw(fleet, 20, 10, 20, USUAL)

        _, after = self.run_both(load)
        floor = 10 * CAPACITY * admission.RANK_FLOOR
        self.assertGreaterEqual(self.served(after, USUAL)[1], floor)
        urgent = self.served(after, ('urgent',))[1]
        self.assertGreaterEqual(urgent, 0.8 * 10 * CAPACITY)

    def test_all_searchers_are_full(self):
        """Guards against idle slots, late answers and queues at searchers.

        For 8 s there are 130 requests a second.
        """

        def load(fleet):
            draw(fleet, 30, 0, 30, USUAL)
            draw(fleet, 100, 12, 20, USUAL)

        before, after = self.run_both(load)
        _, served, in_time = self.served(after)
        self.assertGreaterEqual(served, self.served(before)[1] * BUSY_SHARE)
        self.assertGreaterEqual(in_time, self.served(before)[2] * BUSY_SHARE)
        self.assertEqual(0, after.rejected)
        held = [r.ms for r in after.results if r.status == 503]
        # Two attempts, each given up at once, and a wait in between.
        self.assertLess(
            sorted(held)[len(held) * 9 // 10], gateway_fleet.OBJECTIVE_MS
        )

    def test_gathers_beside_fetches(self):
        """Guards against gathers of one customer that fill the searchers."""

        def load(fleet):
            draw(fleet, 30, 0, 30, USUAL)
            draw(fleet, 35, 12, 20, ('one',), '/all/x')

        before, after = self.run_both(load, SHARED)
        # Together they are 97 of 100 of what the slots of `s1` can run.
        self.assertGreater(self.served(after)[2], self.served(before)[2])
        gathers = self.served(after, target='/all/x')
        self.assertGreaterEqual(
            gathers[2], self.served(before, target='/all/x')[2]
        )

    def test_a_coordinator_is_lost(self):
        """Guards against nodes that depend on it.

        It is frozen and closes no connection. What it has confirmed is lost,
        since it may have run it as often as the route allows. A node whose
        second request arrives within the 50 ms in which it notices has budget
        to send one again: that is 30 x 0.05 = 1.5 requests on average.
        """
        for gathered in (('s2',), SHARED):
            with self.subTest(gathered=gathered):

                def load(fleet):
                    draw(fleet, 30, 0, 30, USUAL)
                    fleet.after(15_000, freeze_busiest, fleet)

                _, after = self.run_both(load, gathered)
                self.assertEqual(1, len(after.lost))
                sent, served, in_time = self.served(after)
                self.assertGreaterEqual(served, sent - after.confirmed - 3)
                self.assertEqual(served, in_time)


def freeze_busiest(fleet):
    nodes = range(gateway_fleet.COORDINATORS)
    lost = max(nodes, key=lambda n: fleet.states[n].last_attempt_id)
    fleet.confirmed = len(fleet.states[lost].exchanges)
    fleet.lost.add(lost)
