import unittest

from gypsumbridge_decisions import clock
from gypsumbridge_decisions import discovery
from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import relaying
from tests.decisions.discovery import test_discovery

MANY = 250


def confirmed(commands):
    return [c for c in commands if isinstance(c, forwarding.CopyConfirmed)]


class ProofTest(unittest.TestCase):
    def setUp(self):
        self.time = clock.ManualTime(1_000)
        self.clock = self.time.clock()
        own = relaying.PeerNode('n1', 'n1:70', 'd1', 1.0)
        self.state = discovery.make_discovery_state(
            relaying.make_relay_state(own, 10),
            test_discovery.SCHEMA,
            test_discovery.DRAIN_MS,
        )

    def handle(self, message):
        return confirmed(
            discovery.handle(self.state, message, self.clock.now_ms())
        )

    def list(self):
        sent_ms = self.clock.boot_ms()
        return self.handle(discovery.StoreListed(5, (), sent_ms))

    def test_a_list_that_may_be_stale_proves_nothing(self):
        """Guards against a proof by a list that is some seconds old."""
        self.assertEqual([], self.list())
        self.assertIsNone(self.state.proven_ms)

    def test_the_proof_is_as_old_as_the_call(self):
        """Guards against a proof from the arrival of a response.

        The host was suspended while the response of a watch waited.
        """
        self.list()
        sent_ms = self.clock.boot_ms()
        self.time.suspend(60_000)
        self.time.advance(10)
        (report,) = self.handle(discovery.StoreChanged(5, (), sent_ms))
        self.assertEqual(1_010, report.confirmed_ms)
        self.assertEqual(sent_ms, report.proven_ms)

    def test_a_response_that_may_be_cut_off_proves_nothing(self):
        """Guards against a proof by a response that lacks later changes."""
        self.list()
        records = [relaying.StoreRecord(f'k{n}', 6, b'') for n in range(MANY)]
        changed = discovery.StoreChanged(5 + MANY, tuple(records), 1_000)
        self.assertEqual([], self.handle(changed))

    def test_the_age_that_a_relay_states_comes_off(self):
        """Guards against a proof that gets younger with each relay."""
        self.list()
        updates = relaying.RelayedUpdates(5, (), False, True, 0, 700)
        answered = relaying.PeerAnswered('n2', updates, 9_000)
        (report,) = self.handle(answered)
        self.assertEqual(8_300, report.proven_ms)

    def test_a_relay_that_states_no_age_proves_nothing(self):
        """Guards against a proof by a relay of an older release."""
        self.list()
        updates = relaying.RelayedUpdates(5, (), False, True, 0)
        answered = relaying.PeerAnswered('n2', updates, 9_000)
        (report,) = self.handle(answered)
        self.assertEqual(discovery.NEVER_MS, report.proven_ms)
