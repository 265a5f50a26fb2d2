import unittest

from gypsumbridge_decisions import discovery
from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from tests.decisions.discovery import test_discovery

DIRECT_NODES = 2
DRAIN_MS = 3_000


class Fleet:
    """Nodes of one failure domain whose polls and answers are delivered."""

    def __init__(self, count):
        self.now_ms = 0
        names = [f'n{number}' for number in range(count)]
        self.records = tuple(
            relaying.StoreRecord(f'nodes/{n}', 1, f'd1 {n}:70'.encode())
            for n in names
        ) + (relaying.StoreRecord('routes', 2, b'1'),)
        self.states = {n: self.make_state(n) for n in names}
        self.commands = {n: [] for n in names}
        order = relaying.candidates(self.list('n0').relay)
        self.first, self.second, self.third = (p.node_id for p in order)
        ranked = {self.first, self.second, self.third}
        self.last = next(n for n in names if n not in ranked)

    def make_state(self, name):
        own = relaying.PeerNode(name, f'{name}:70', 'd1', 1.0)
        return discovery.make_discovery_state(
            relaying.make_relay_state(own, DIRECT_NODES),
            test_discovery.SCHEMA,
            DRAIN_MS,
        )

    def handle(self, name, message):
        found = discovery.handle(self.states[name], message, self.now_ms)
        self.commands[name] = found
        return found

    def list(self, name):
        self.handle(name, discovery.StoreListed(2, self.records))
        return self.states[name]

    def order(self, name):
        """Return what the node waits for: a peer's name or a call."""
        for command in reversed(self.commands[name]):
            if isinstance(command, relaying.WatchPeer):
                return command.peer.node_id
            if isinstance(command, discovery.WatchStore):
                return 'store'
            if isinstance(command, discovery.ListStore):
                return 'list'
        return None

    def poll(self, name):
        """Deliver a node's poll; return the answer, if there is one now."""
        (watch,) = (
            c for c in self.commands[name] if isinstance(c, relaying.WatchPeer)
        )
        found = self.handle(
            watch.peer.node_id,
            relaying.PollArrived(7, watch.after_revision, watch.wait_ms),
        )
        return answers(found)

    def deliver(self, name, source, answer):
        return self.handle(name, relaying.PeerAnswered(source, answer.news))


def answers(commands):
    return [c for c in commands if isinstance(c, relaying.AnswerPoll)]


def timers(commands):
    return [c for c in commands if isinstance(c, messages.Timer)]


class RelayingTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(6)

    def change(self, name, revision, key, value):
        record = relaying.StoreRecord(key, revision, value)
        return self.fleet.handle(
            name, discovery.StoreChanged(revision, (record,))
        )

    def remove_at_first(self):
        """Let two nodes know a searcher, and one of its removal."""
        fleet = self.fleet
        for name in (fleet.first, fleet.last):
            fleet.list(name)
            self.change(name, 5, 'searchers/a', b'ready')
        fleet.handle(fleet.last, discovery.ResumeTimer())
        self.change(fleet.first, 6, 'searchers/a', None)

    def test_one_node_of_a_failure_domain_watches_the_store(self):
        """Guards against a call of every node for each change."""
        sources = {}
        for name in self.fleet.states:
            self.fleet.list(name)
            sources[name] = self.fleet.order(name)
        self.assertEqual('store', sources.pop(self.fleet.first))
        self.assertEqual({self.fleet.first}, set(sources.values()))

    def test_a_small_fleet_watches_the_store_itself(self):
        """Guards against a detour that saves nothing."""
        state = self.fleet.states[self.fleet.last]
        state.relay.direct_nodes = 6
        self.fleet.list(self.fleet.last)
        self.assertEqual('store', self.fleet.order(self.fleet.last))

    def test_changes_reach_the_nodes_that_wait(self):
        """Guards against news that wait for the end of a poll."""
        fleet = self.fleet
        for name in (fleet.first, fleet.last):
            fleet.list(name)
        self.assertEqual([], fleet.poll(fleet.last))
        (answer,) = answers(self.change(fleet.first, 5, 'routes', b'2'))
        commands = fleet.deliver(fleet.last, fleet.first, answer)
        (changed,) = (
            c for c in commands if isinstance(c, forwarding.RoutesChanged)
        )
        self.assertEqual(2, changed.table.version)
        self.assertEqual(5, fleet.states[fleet.last].revision)
        self.assertEqual(fleet.first, fleet.order(fleet.last))

    def test_a_deletion_is_passed_on(self):
        """Guards against searchers that stay in use at some nodes."""
        fleet = self.fleet
        self.remove_at_first()
        (answer,) = fleet.poll(fleet.last)
        fleet.deliver(fleet.last, fleet.first, answer)
        self.assertIn('a', fleet.states[fleet.last].removals)

    def test_a_node_that_missed_forgotten_deletions_gets_all_keys(self):
        """Guards against a searcher that a late node never removes."""
        fleet = self.fleet
        self.remove_at_first()
        fleet.states[fleet.first].relay.log.replace(fleet.records, 7)
        fleet.states[fleet.first].revision = 7
        (answer,) = fleet.poll(fleet.last)
        self.assertTrue(answer.news.complete)
        fleet.deliver(fleet.last, fleet.first, answer)
        self.assertIn('a', fleet.states[fleet.last].removals)

    def test_a_poll_without_news_ends_with_its_wait(self):
        """Guards against a node that takes a quiet peer for a lost one."""
        fleet = self.fleet
        for name in (fleet.first, fleet.last):
            fleet.list(name)
        fleet.poll(fleet.last)
        (answer,) = answers(fleet.handle(fleet.first, relaying.PollTimer(7)))
        self.assertTrue(answer.news.in_touch)
        self.assertEqual((), answer.news.records)
        self.assertEqual([], fleet.handle(fleet.first, relaying.PollTimer(7)))

    def test_the_next_node_is_asked_when_one_is_lost(self):
        """Guards against nodes that lose their news with one process."""
        fleet = self.fleet
        fleet.list(fleet.last)
        for source in (fleet.first, fleet.second, fleet.third):
            self.assertEqual(source, fleet.order(fleet.last))
            fleet.handle(fleet.last, relaying.PeerFailed(source, 'timeout'))
        self.assertEqual('store', fleet.order(fleet.last))
        fleet.now_ms += 2_000
        fleet.handle(fleet.last, discovery.StoreChanged(2, ()))
        self.assertEqual(fleet.first, fleet.order(fleet.last))

    def test_a_lost_peer_is_asked_less_and_less_often(self):
        """Guards against a time-out of a dead host every two seconds."""
        fleet = self.fleet
        fleet.list(fleet.last)
        relay = fleet.states[fleet.last].relay
        for expected_ms in (2_000, 4_000, 8_000, 16_000, 30_000, 30_000):
            failed = relaying.PeerFailed(fleet.first, 'timeout')
            fleet.handle(fleet.last, failed)
            self.assertEqual(
                expected_ms, relay.barred_until_ms[fleet.first] - fleet.now_ms
            )

    def test_nodes_leave_a_peer_that_lost_the_store(self):
        """Guards against news that stop where one link to the store does."""
        fleet = self.fleet
        for name in (fleet.first, fleet.last):
            fleet.list(name)
        fleet.poll(fleet.last)
        failed = fleet.handle(fleet.first, discovery.StoreFailed('timeout'))
        (answer,) = answers(failed)
        fleet.deliver(fleet.last, fleet.first, answer)
        self.assertEqual(fleet.second, fleet.order(fleet.last))
        fleet.now_ms += 1_000
        fleet.handle(fleet.last, discovery.ResumeTimer())
        self.assertEqual(fleet.first, fleet.order(fleet.last))

    def test_a_node_without_news_answers_at_once_that_it_has_none(self):
        """Guards against polls that wait at a node that just started."""
        fleet = self.fleet
        fleet.list(fleet.last)
        (answer,) = fleet.poll(fleet.last)
        self.assertFalse(answer.news.in_touch)

    def play_outage(self, name, length_ms):
        """Return how many calls a node sends to a store that is away."""
        fleet = self.fleet
        fleet.list(name)
        if fleet.order(name) != 'store':
            news = relaying.RelayedUpdates(2, (), False, True, 0)
            answered = relaying.PeerAnswered(fleet.order(name), news)
            fleet.handle(name, answered)
        end_ms = fleet.now_ms + length_ms
        calls = 0
        while fleet.now_ms < end_ms:
            order = fleet.order(name)
            if order == 'store':
                calls += 1
                fleet.handle(name, discovery.StoreFailed('reset'))
            elif order is not None:
                news = relaying.RelayedUpdates(2, (), False, False, 0)
                fleet.handle(name, relaying.PeerAnswered(order, news))
            else:
                timer = timers(fleet.commands[name])[-1]
                fleet.now_ms += timer.delay_ms
                fleet.handle(name, timer.event)
        return calls

    def test_an_outage_is_not_probed_by_the_whole_fleet(self):
        """Guards against refused calls of every node, which are paid for.

        On abl-gypsum-grown scale-1 an outage of 3 s led to some five calls
        of each of 83 nodes.
        """
        self.assertLess(self.play_outage(self.fleet.last, 4_500), 2)
        self.assertGreater(self.play_outage(self.fleet.first, 4_500), 4)

    def test_a_node_without_news_does_not_relay(self):
        """Guards against nodes that wait for one that waits itself."""
        fleet = self.fleet
        self.play_outage(fleet.third, 1_500)
        self.assertFalse(
            fleet.states[fleet.third].status(fleet.now_ms).in_touch
        )
        news = relaying.RelayedUpdates(2, (), False, True, 0)
        fleet.now_ms += 1_000
        fleet.handle(fleet.third, discovery.ResumeTimer())
        fleet.handle(fleet.third, relaying.PeerAnswered(fleet.first, news))
        self.assertTrue(
            fleet.states[fleet.third].status(fleet.now_ms).in_touch
        )

    def test_nodes_that_lost_one_relay_watch_the_store_at_once(self):
        """Guards against a wait for the store where one link is cut."""
        fleet = self.fleet
        fleet.list(fleet.second)
        news = relaying.RelayedUpdates(2, (), False, False, 0)
        fleet.handle(fleet.second, relaying.PeerAnswered(fleet.first, news))
        self.assertEqual('store', fleet.order(fleet.second))

    def test_a_quiet_store_keeps_news_fresh(self):
        """Guards against calls of the whole fleet while nothing changes."""
        fleet = self.fleet
        for name in (fleet.first, fleet.last):
            fleet.list(name)
        for _ in range(20):
            self.assertEqual([], fleet.poll(fleet.last))
            fleet.now_ms += 1_400
            quiet = fleet.handle(fleet.first, discovery.StoreChanged(2, ()))
            (answer,) = answers(quiet)
            self.assertTrue(answer.news.in_touch)
            fleet.deliver(fleet.last, fleet.first, answer)
            self.assertEqual(fleet.first, fleet.order(fleet.last))

    def test_a_peer_whose_news_are_old_is_left(self):
        """Guards against a relay that does not know yet that it is cut off.

        On abl-gypsum-grown trouble-1 the store fell silent towards the first
        two of a domain. One after the other waited 2.3 s for it, and a
        version came into force 5.5 s after it had been acknowledged.
        """
        fleet = self.fleet
        for name in (fleet.first, fleet.last):
            fleet.list(name)
        self.assertEqual([], fleet.poll(fleet.last))
        fleet.now_ms += relaying.STALE_MS
        (answer,) = answers(fleet.handle(fleet.first, relaying.PollTimer(7)))
        self.assertFalse(answer.news.in_touch)
        fleet.deliver(fleet.last, fleet.first, answer)
        self.assertEqual('store', fleet.order(fleet.last))

    def test_a_poll_ends_before_the_news_are_stale(self):
        """Guards against a wait at a frozen peer that outlasts the bound."""
        fleet = self.fleet
        fleet.list(fleet.last)
        fleet.now_ms += 1_000
        news = relaying.RelayedUpdates(2, (), False, True, 1_200)
        answered = relaying.PeerAnswered(fleet.first, news)
        (watch,) = (
            c
            for c in fleet.handle(fleet.last, answered)
            if isinstance(c, relaying.WatchPeer)
        )
        self.assertEqual(relaying.STALE_MS - 1_000, watch.wait_ms)

    def test_a_store_that_answers_is_asked_while_peers_have_no_news(self):
        """Guards against news that come only now and then.

        While the store turns the relays away, the others went back and forth
        between the relays and a wait.
        """
        fleet = self.fleet
        fleet.list(fleet.last)
        news = relaying.RelayedUpdates(2, (), False, False, 0)
        for _ in range(10):
            fleet.now_ms += 1_100
            fleet.handle(fleet.last, discovery.StoreChanged(2, ()))
            for _ in range(3):
                order = fleet.order(fleet.last)
                if order == 'store':
                    break
                answered = relaying.PeerAnswered(order, news)
                fleet.handle(fleet.last, answered)
            self.assertEqual('store', fleet.order(fleet.last))

    def missed_removal(self, store_failed):
        """Return when a searcher is dropped whose removal was missed."""
        fleet = self.fleet
        fleet.list(fleet.last)
        self.change(fleet.last, 5, 'searchers/a', b'ready')
        lost = relaying.PeerFailed(fleet.first, 'timeout')
        fleet.handle(fleet.last, lost)
        if store_failed:
            failed = discovery.StoreFailed('timeout')
            fleet.handle(fleet.last, failed)
        fleet.now_ms += 2_200
        self.change(fleet.last, 6, 'searchers/a', None)
        return fleet.states[fleet.last].removals['a']

    def test_a_removal_that_was_missed_is_not_held_for_long(self):
        """Guards against requests to a searcher that has left.

        Fault soak seed 716: a node heard 2.2 s late of a removal, since its
        relay had lost the store, and held the searcher for 2 s more.
        """
        self.assertEqual(2_500, self.missed_removal(store_failed=False))

    def test_a_removal_during_an_outage_is_held(self):
        """Guards against dropping searchers whose entries lapsed."""
        self.assertEqual(4_200, self.missed_removal(store_failed=True))

    def test_a_store_that_turns_the_relays_away_is_asked_by_others(self):
        """Guards against a domain without news for as long as that lasts."""
        self.assertGreater(self.play_outage(self.fleet.last, 10_000), 1)

    def test_older_news_change_nothing(self):
        """Guards against a peer that is behind and brings drained back."""
        fleet = self.fleet
        fleet.list(fleet.last)
        self.change(fleet.last, 9, 'searchers/a', b'draining')
        fleet.handle(fleet.last, discovery.ResumeTimer())
        old = relaying.RelayedUpdates(
            4,
            (relaying.StoreRecord('searchers/a', 4, b'ready'),),
            True,
            True,
            0,
        )
        fleet.handle(fleet.last, relaying.PeerAnswered(fleet.first, old))
        self.assertTrue(fleet.states[fleet.last].searchers['a'].draining)
        self.assertEqual(9, fleet.states[fleet.last].revision)

    def test_an_old_list_changes_nothing(self):
        """Guards against a cheap list that is older than what is known."""
        fleet = self.fleet
        fleet.list(fleet.last)
        self.change(fleet.last, 9, 'searchers/a', b'draining')
        fleet.list(fleet.last)
        self.assertTrue(fleet.states[fleet.last].searchers['a'].draining)
        self.assertEqual(9, fleet.states[fleet.last].revision)

    def test_a_new_fleet_lists_again_before_it_watches(self):
        """Guards against a fleet whose nodes don't see each other at first.

        All start together, so the first list names few of them, and each
        node would watch the store while the others write their keys.
        """
        fleet = self.fleet
        listed = discovery.StoreListed(2, fleet.records[-1:])
        commands = fleet.handle(fleet.last, listed)
        self.assertIn(discovery.DiscoveryReady(), commands)
        timer = commands[-1]
        self.assertEqual(discovery.ResumeTimer(), timer.event)
        fleet.handle(fleet.last, discovery.NodeWritten(True))
        fleet.handle(fleet.last, timer.event)
        self.assertEqual('list', fleet.order(fleet.last))
        fleet.list(fleet.last)
        self.assertEqual(fleet.first, fleet.order(fleet.last))


class RankingTest(unittest.TestCase):
    def test_no_two_nodes_ask_each_other(self):
        """Guards against news that go round in a circle."""
        fleet = Fleet(6)
        for name in fleet.states:
            fleet.list(name)
        for name, state in fleet.states.items():
            seen = [p.node_id for p in relaying.candidates(state.relay)]
            self.assertEqual([fleet.first, fleet.second, fleet.third], seen)
            for barred in (set(), {fleet.first}, {fleet.first, fleet.second}):
                state.relay.barred_until_ms = dict.fromkeys(barred, 99)
                peer = relaying.choose_source(state.relay, 6, 0, 0).peer
                if peer is None or name not in seen:
                    continue
                self.assertLess(seen.index(peer.node_id), seen.index(name))

    def test_hosts_with_more_capacity_relay(self):
        """Guards against a thin link that carries a domain's news."""
        own = relaying.PeerNode('n9', 'a:1', 'd1', 11.0)
        state = relaying.make_relay_state(own, 0)
        for number in range(9):
            capacity = 100.0 if number == 4 else 11.0
            state.peers[f'n{number}'] = relaying.PeerNode(
                f'n{number}', 'a:1', 'd1', capacity
            )
        self.assertEqual('n4', relaying.candidates(state)[0].node_id)

    def test_other_failure_domains_are_not_asked(self):
        """Guards against paid bytes between failure domains."""
        own = relaying.PeerNode('n1', 'a:1', 'd1', 1.0)
        state = relaying.make_relay_state(own, 0)
        state.peers = {
            'n1': own,
            'n2': relaying.PeerNode('n2', 'a:1', 'd2', 9.0),
        }
        source = relaying.choose_source(state, 20, 0, 0)
        self.assertEqual(relaying.NewsSource(None), source)


class RecordLogTest(unittest.TestCase):
    def test_forgotten_deletions_move_the_horizon(self):
        """Guards against memory that grows with each searcher that left."""
        log = relaying.RecordLog()
        log.replace((), 10)
        for number in range(1_500):
            key = f'k{number}'
            log.add((relaying.StoreRecord(key, 11 + number, None),))
        self.assertEqual(1_000, len(log.records))
        self.assertFalse(log.is_complete_after(400))
        self.assertTrue(log.is_complete_after(600))

    def test_a_key_that_is_back_is_no_deletion(self):
        """Guards against forgetting a searcher that lives."""
        log = relaying.RecordLog()
        log.replace((), 1)
        log.add((relaying.StoreRecord('k', 2, None),))
        log.add((relaying.StoreRecord('k', 3, b'v'),))
        self.assertEqual({}, log.deletions)
        self.assertEqual(['k'], [r.key for r in log.present()])

    def test_an_older_record_does_not_replace_a_newer_one(self):
        """Guards against pages of a list that overlap with changes."""
        log = relaying.RecordLog()
        log.add((relaying.StoreRecord('k', 3, b'new'),))
        log.add((relaying.StoreRecord('k', 2, b'old'),))
        self.assertEqual(b'new', log.records['k'].value)
