"""Leases of the store stand-in."""

import unittest

from twisted.internet import task

from gypsumbridge_standins.store import leases
from gypsumbridge_standins.store import store_state


class LeaseTest(unittest.TestCase):
    def test_key_is_deleted_when_its_lease_expires(self):
        """Guards against keys that outlive a lease or are deleted early."""
        clock = task.Clock()
        state = store_state.StoreState(10, 10)
        notifications = []
        granted = leases.grant(
            clock, state, 1_000, lambda: notifications.append(1)
        )
        lease = granted[1]['lease']
        leases.write_with_lease(state, 'bound', '1', 0, lease)
        leases.write_with_lease(state, 'kept', '1', 0, lease)
        revision = state.items['kept'][1]
        leases.write_with_lease(state, 'kept', '2', revision, 0)
        clock.advance(0.9)
        self.assertEqual(200, leases.keep_alive(state, lease)[0])
        clock.advance(0.9)
        self.assertIn('bound', state.items)
        clock.advance(0.2)
        self.assertEqual({'kept'}, set(state.items))
        self.assertEqual([1], notifications)
        self.assertIsNone(state.events[-1]['value'])
        self.assertEqual(404, leases.keep_alive(state, lease)[0])
        late_write = leases.write_with_lease(state, 'late', '1', 0, lease)
        self.assertEqual(404, late_write[0])
