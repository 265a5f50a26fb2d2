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
SEARCHER = {'searchers/a': b'ready'}


def evacuations(commands):
    return [
        set(command.failure_domains)
        for command in commands
        if isinstance(command, forwarding.EvacuationChanged)
    ]


def decisions(commands, name):
    return [
        command
        for command in commands
        if isinstance(command, messages.Decision) and command.name == name
    ]


class EvacuatingTest(unittest.TestCase):
    def setUp(self):
        own = relaying.PeerNode('n1', '', 'd1', 1.0)
        self.state = discovery.make_discovery_state(
            relaying.make_relay_state(own, 10), SCHEMA, 3_000
        )
        self.revision = 0

    def handle(self, message):
        return discovery.handle(self.state, message, 0)

    def records(self, values):
        found = []
        for key, value in values.items():
            self.revision += 1
            found.append(relaying.StoreRecord(key, self.revision, value))
        return tuple(found)

    def list(self, values):
        records = self.records(values)
        return self.handle(discovery.StoreListed(self.revision, records))

    def change(self, key, value):
        records = self.records({key: value})
        return self.handle(discovery.StoreChanged(self.revision, records))

    def test_an_evacuation_is_published_and_taken_back(self):
        """Guards against an evacuation that is missed or never ends."""
        self.list({**SEARCHER, 'searchers/b': b'ready'})
        commands = self.change(KEY, b'')
        self.assertEqual([{'d'}], evacuations(commands))
        (began,) = decisions(commands, 'evacuation_began')
        self.assertEqual(2, began.fields['searchers'])
        self.assertIn(messages.Count('discovery.evacuations_began'), commands)
        self.assertEqual([], evacuations(self.change(KEY, b'again')))
        commands = self.change(KEY, None)
        self.assertEqual([set()], evacuations(commands))
        (ended,) = decisions(commands, 'evacuation_ended')
        self.assertEqual(2, ended.fields['searchers'])

    def test_a_restarted_node_knows_it_before_the_searchers(self):
        """Guards against requests to a failure domain under evacuation.

        The searchers task opens connections as soon as it knows searchers.
        """
        commands = self.list({KEY: b'1', **SEARCHER})
        types = [type(command) for command in commands]
        self.assertLess(
            types.index(forwarding.EvacuationChanged),
            types.index(forwarding.SearchersChanged),
        )
        (began,) = decisions(commands, 'evacuation_began')
        self.assertEqual(1, began.fields['searchers'])

    def test_one_that_was_deleted_while_cut_off_ends_with_a_list(self):
        """Guards against an evacuation that outlasts its key."""
        self.list({KEY: b'1', 'drain/e': b'1', **SEARCHER})
        self.handle(discovery.HistoryLost('status_410'))
        commands = self.list({'drain/e': b'1', **SEARCHER})
        self.assertEqual([{'e'}], evacuations(commands))

    def test_an_older_list_does_not_bring_it_back(self):
        """Guards against a stale list that reverts the end of one."""
        self.list({KEY: b'1', **SEARCHER})
        self.change(KEY, None)
        stale = relaying.StoreRecord(KEY, 1, b'1')
        commands = self.handle(discovery.StoreListed(1, (stale,)))
        self.assertEqual([], evacuations(commands))

    def test_an_unknown_failure_domain_is_kept_and_logged(self):
        """Guards against an evacuation that is lost before searchers come."""
        self.list(SEARCHER)
        commands = self.change('drain/nowhere', b'1')
        self.assertEqual([{'nowhere'}], evacuations(commands))
        (began,) = decisions(commands, 'evacuation_began')
        self.assertEqual('unknown_domain', began.reason)

    def test_a_malformed_key_is_logged(self):
        """Guards against a mistyped key that is ignored in silence."""
        for key in ('drain/', 'drain/d/x', 'drain/d\n'):
            with self.subTest(key=key):
                commands = self.change(key, b'1')
                self.assertEqual([], evacuations(commands))
                (skipped,) = decisions(commands, 'store_record_skipped')
                self.assertEqual(key, skipped.fields['key'])


class RelayedEvacuationTest(unittest.TestCase):
    def setUp(self):
        self.fleet = test_relaying.Fleet(6)
        for state in self.fleet.states.values():
            state.schema = SCHEMA

    def relay(self, revision, value):
        """Deliver a change through the relay; return what is published."""
        fleet = self.fleet
        record = relaying.StoreRecord(KEY, revision, value)
        fleet.handle(fleet.first, discovery.StoreChanged(revision, (record,)))
        fleet.handle(fleet.last, discovery.ResumeTimer())
        (answer,) = fleet.poll(fleet.last)
        return evacuations(fleet.deliver(fleet.last, fleet.first, answer))

    def test_an_evacuation_and_its_end_come_through_a_relay(self):
        """Guards against nodes that poll a relay and learn of neither."""
        for name in (self.fleet.first, self.fleet.last):
            self.fleet.list(name)
        self.assertEqual([{'d'}], self.relay(5, b'1'))
        self.assertEqual([set()], self.relay(6, None))

    def test_a_relay_that_lost_its_deletions_ends_it_with_all_keys(self):
        """Guards against an evacuation that outlasts its key."""
        fleet = self.fleet
        for name in (fleet.first, fleet.last):
            fleet.list(name)
        self.assertEqual([{'d'}], self.relay(5, b'1'))
        log = fleet.states[fleet.first].relay.log
        log.records.pop(KEY)
        log.horizon = 9
        self.assertEqual([set()], self.relay(9, None))
