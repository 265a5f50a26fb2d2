import dataclasses
import unittest

from gypsumbridge_decisions import discovery
from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from tests.decisions.discovery import test_discovery
from tests.decisions.discovery import test_relaying

KEY = 'drain/d'
SCHEMA = dataclasses.replace(test_discovery.SCHEMA, evacuation_prefix='drain/')
SEARCHER = ('searchers/a', b'ready')


def published(commands):
    """Return the failure domains of each report, in order."""
    kind = forwarding.EvacuationChanged
    return [set(c.failure_domains) for c in commands if isinstance(c, kind)]


def decision(commands, name):
    kind = messages.Decision
    return next(c for c in commands if isinstance(c, kind) and c.name == name)


class EvacuatingTest(unittest.TestCase):
    def setUp(self):
        self.fleet = test_relaying.Fleet(6)
        for state in self.fleet.states.values():
            state.schema = SCHEMA
        self.node = self.fleet.first
        self.revision = 2

    def list(self, *values):
        """List the store with a newer revision for each key."""
        self.revision += 1
        records = [
            relaying.StoreRecord(k, self.revision, v) for k, v in values
        ]
        listed = discovery.StoreListed(self.revision, tuple(records))
        return self.fleet.handle(self.node, listed)

    def change(self, key, value):
        self.revision += 1
        record = relaying.StoreRecord(key, self.revision, value)
        changed = discovery.StoreChanged(self.revision, (record,))
        return self.fleet.handle(self.node, changed)

    def test_an_evacuation_is_published_and_taken_back(self):
        """Guards against an evacuation that is missed or never ends."""
        self.list(SEARCHER)
        for domain, reason, count in (
            ('d', 'store', 1),
            # It must hold before the searchers come.
            ('nowhere', 'unknown_domain', 0),
        ):
            for value, event, expected in (
                (b'', 'evacuation_began', {domain}),
                (None, 'evacuation_ended', set()),
            ):
                commands = self.change(f'drain/{domain}', value)
                self.assertEqual([expected], published(commands))
                logged = decision(commands, event)
                self.assertEqual(reason, logged.reason)
                self.assertEqual(count, logged.fields['searchers'])
                commands = self.change(f'drain/{domain}', value)
                self.assertEqual([], published(commands))

    def test_a_restarted_node_knows_it_before_the_searchers(self):
        """Guards against connections to searchers under evacuation."""
        commands = self.list((KEY, b'1'), SEARCHER)
        types = [type(command) for command in commands]
        evacuated = types.index(forwarding.EvacuationChanged)
        searchers = types.index(forwarding.SearchersChanged)
        self.assertLess(evacuated, searchers)
        began = decision(commands, 'evacuation_began')
        self.assertEqual(1, began.fields['searchers'])

    def test_lists_end_it_only_if_they_are_newer(self):
        """Guards against one that outlasts its key, or comes back."""
        self.list((KEY, b'1'), ('drain/e', b'1'), SEARCHER)
        self.fleet.handle(self.node, discovery.HistoryLost('status_410'))
        self.assertEqual(
            [{'e'}], published(self.list(('drain/e', b'1'), SEARCHER))
        )
        self.revision = 1
        self.assertEqual([], published(self.list((KEY, b'1'))))

    def test_a_malformed_key_is_logged(self):
        """Guards against a mistyped key that is ignored in silence."""
        for key in ('drain/', 'drain/d/x', 'drain/d\n'):
            commands = self.change(key, b'1')
            self.assertEqual([], published(commands))
            skipped = decision(commands, 'store_record_skipped')
            self.assertEqual(key, skipped.fields['key'])

    def relay(self, value):
        """Deliver a change through the relay; return what is published."""
        fleet = self.fleet
        self.change(KEY, value)
        fleet.handle(fleet.last, discovery.ResumeTimer())
        (answer,) = fleet.poll(fleet.last)
        return published(fleet.deliver(fleet.last, fleet.first, answer))

    def test_an_evacuation_and_its_end_come_through_a_relay(self):
        """Guards against nodes that poll a relay and learn of neither.

        A relay that no longer has the deletion sends all keys.
        """
        for name in (self.fleet.first, self.fleet.last):
            self.fleet.list(name)
        log = self.fleet.states[self.fleet.first].relay.log
        for without_deletion in (False, True):
            self.assertEqual([{'d'}], self.relay(b'1'))
            if without_deletion:
                log.horizon = self.revision + 1
            self.assertEqual([set()], self.relay(None))
