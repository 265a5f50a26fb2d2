"""Leases of the store stand-in."""

import unittest

from twisted.internet import task

from gypsumbridge_standins.store import leases
from gypsumbridge_standins.store import store_state


class LeaseTest(unittest.TestCase):
    def test_key_goes_when_its_lease_lapses(self):
        """Guards against keys that outlive a holder, or go too early."""
        clock = task.Clock()
        state = store_state.StoreState(10, 10)
        woken = []
        granted = leases.grant(clock, state, 1_000, lambda: woken.append(1))
        lease = granted[1]['lease']
        leases.write_bound(state, 'bound', '1', 0, lease)
        leases.write_bound(state, 'kept', '1', 0, lease)
        revision = state.items['kept'][1]
        leases.write_bound(state, 'kept', '2', revision, 0)
        clock.advance(0.9)
        self.assertEqual(200, leases.keep_alive(state, lease)[0])
        clock.advance(0.9)
        self.assertIn('bound', state.items)
        clock.advance(0.2)
        self.assertEqual({'kept'}, set(state.items))
        self.assertEqual([1], woken)
        self.assertIsNone(state.events[-1]['value'])
        self.assertEqual(404, leases.keep_alive(state, lease)[0])
        lapsed = leases.write_bound(state, 'late', '1', 0, lease)
        self.assertEqual(404, lapsed[0])
