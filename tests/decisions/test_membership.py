import dataclasses
import unittest

from gypsumbridge_decisions import membership
from gypsumbridge_decisions import messages
from gypsumbridge_wire import peer
from tests.decisions import fleet

ALIVE = messages.MemberState.ALIVE
DEAD = messages.MemberState.DEAD


class MembershipTest(unittest.TestCase):
    def test_a_dead_member_is_detected_within_bounded_rounds(self):
        """Guards against a dead node that keeps its replica sets.

        Every pass probes all members, so each member suspects a dead one
        after at most two passes of its own, and much sooner by gossip.
        """
        nodes = fleet.Fleet(20)
        nodes.run(5_000)
        nodes.killed.add('n0007')
        rounds = 4 + 2 * 5
        nodes.run(rounds * 500 + membership.suspicion_timeout_ms(20))
        others = [n for n in nodes.hosts if n != 'n0007']
        for name in others:
            self.assertEqual(DEAD, nodes.member_state(name, 'n0007'), name)
            self.assertNotIn('n0007', nodes.views[name])
            self.assertEqual(others, sorted(nodes.views[name]))

    def test_a_broken_link_does_not_make_a_live_member_dead(self):
        """Guards against declaring a member dead over one broken link."""
        broken = {('n0000', 'n0001'), ('n0001', 'n0000')}
        nodes = fleet.Fleet(5, lambda a, b: (a, b) in broken)
        for _ in range(120):
            nodes.run(500)
            for name in nodes.hosts:
                states = nodes.views[name].values()
                self.assertEqual({ALIVE}, set(states), name)

    def test_a_suspect_refutes_with_a_higher_incarnation(self):
        """Guards against a suspicion that a live member cannot clear."""
        nodes = fleet.Fleet(4)
        nodes.run(2_000)
        own = nodes.nodes['n0002'].own
        gossip = messages.Member(
            own.node_id, 'fd', 'n0002:1', 'n0002:2', 0, DEAD
        )
        sender = nodes.nodes['n0001'].own
        probe = messages.Probe(sender, 'n0001', 0, (gossip,))
        nodes.handle('n0000', probe)
        self.assertEqual(DEAD, nodes.member_state('n0000', 'n0002'))
        nodes.run(8_000)
        for name in ('n0000', 'n0001', 'n0003'):
            self.assertEqual(ALIVE, nodes.member_state(name, 'n0002'), name)
        self.assertGreater(nodes.nodes['n0002'].own.incarnation, 0)

    def test_a_frozen_node_suspects_itself_first(self):
        """Guards against a paused node that, when it continues, serves with
        outdated ownership and declares the other members dead.
        """
        nodes = fleet.Fleet(6)
        nodes.run(3_000)
        nodes.freeze('n0003')
        nodes.run(30_000)
        self.assertEqual(DEAD, nodes.member_state('n0000', 'n0003'))
        self.assertFalse(nodes.serves('n0003'))
        nodes.is_lost = lambda sender, receiver: receiver == 'n0003'
        nodes.unfreeze('n0003')
        nodes.run(10_000)
        self.assertFalse(nodes.serves('n0003'))
        self.assertEqual({ALIVE}, set(nodes.views['n0003'].values()))
        nodes.is_lost = lambda sender, receiver: False
        nodes.run(8_000)
        self.assertTrue(nodes.serves('n0003'))
        for name in nodes.hosts:
            self.assertEqual({ALIVE}, set(nodes.views[name].values()))
            self.assertEqual(6, len(nodes.views[name]))

    def test_a_restarted_node_supersedes_its_previous_state(self):
        """Guards against a restarted node that others still treat as dead."""
        nodes = fleet.Fleet(5)
        nodes.run(2_000)
        nodes.killed.add('n0001')
        nodes.run(15_000)
        self.assertEqual(DEAD, nodes.member_state('n0000', 'n0001'))
        nodes.start('n0001', 'again')
        nodes.run(8_000)
        for name in nodes.hosts:
            self.assertIn('n0001', nodes.views[name])
        self.assertGreater(nodes.nodes['n0001'].own.incarnation, 0)

    def test_a_dead_member_that_is_not_listed_is_removed(self):
        """Guards against memory usage that grows with every replaced host."""
        nodes = fleet.Fleet(4)
        nodes.run(2_000)
        nodes.killed.add('n0001')
        nodes.run(90_000)
        self.assertEqual(DEAD, nodes.member_state('n0000', 'n0001'))
        nodes.hosts.remove('n0001')
        for name in nodes.hosts:
            nodes.put(0, name, nodes.host_list())
        nodes.run(1_000)
        for name in nodes.hosts:
            self.assertIsNone(nodes.member_state(name, 'n0001'))

    def test_the_sides_of_a_healed_partition_merge(self):
        """Guards against a fleet that stays split after a partition heals."""
        nodes = fleet.Fleet(6)
        nodes.run(2_000)
        nodes.is_lost = lambda a, b: (a < 'n0003') != (b < 'n0003')
        nodes.run(30_000)
        self.assertEqual(3, len(nodes.views['n0000']))
        nodes.is_lost = lambda a, b: False
        nodes.run(20_000)
        for name in nodes.hosts:
            self.assertEqual(6, len(nodes.views[name]), name)

    def test_an_unlisted_sender_becomes_a_member(self):
        """Guards against a new node that waits for the lagging host list."""
        nodes = fleet.Fleet(3)
        nodes.run(1_000)
        nodes.hosts.append('n0009')
        nodes.start('n0009')
        nodes.run(5_000)
        for name in nodes.hosts:
            self.assertEqual(4, len(nodes.views[name]), name)

    def test_a_leaving_node_stays_published_as_leaving(self):
        """Guards against ownership that returns to a leaving node."""
        nodes = fleet.Fleet(5)
        nodes.run(2_000)
        nodes.put(0, 'n0004', messages.AnnounceLeaving())
        nodes.run(membership.dissemination_rounds(5) * 500)
        self.assertIn('n0004', nodes.announced)
        leaving = messages.MemberState.LEAVING
        for name in nodes.hosts:
            self.assertEqual(leaving, nodes.views[name]['n0004'], name)
        nodes.freeze('n0004')
        nodes.run(1_500)
        self.assertEqual(leaving, nodes.views['n0000']['n0004'])
        nodes.unfreeze('n0004')
        nodes.put(0, 'n0004', messages.LeaveFleet())
        nodes.run(4_000)
        self.assertNotIn('n0004', nodes.views['n0000'])

    def test_the_same_seed_gives_the_same_run(self):
        """Guards against failures that cannot be reproduced."""
        first, second = fleet.Fleet(8), fleet.Fleet(8)
        for nodes in (first, second):
            nodes.run(3_000)
            nodes.killed.add('n0002')
            nodes.run(9_000)
        self.assertEqual(first.sent, second.sent)


class MembershipCostTest(unittest.TestCase):
    def test_messages_and_their_size_do_not_grow_with_the_fleet(self):
        """Guards against control traffic that grows with every node.

        Updates on a fifth of the fleet, far more than fit into one message,
        arrive at once.
        """
        small, large = (self.sent_in_a_minute(n) for n in (50, 1_000))
        self.assertEqual(len(small), len(large))
        self.assertEqual(max(small), max(large))
        self.assertLess(sum(large) / 60, 24_000 / 2)

    def sent_in_a_minute(self, size):
        nodes = fleet.Fleet(size)
        state = nodes.nodes['n0000']
        nodes.nodes = {'n0000': state}
        nodes.handle('n0000', nodes.host_list())
        sender = state.records['n0001'].member
        for name in nodes.hosts[2 : 2 + size // 5]:
            member = state.records[name].member
            update = dataclasses.replace(member, state=DEAD)
            probe = messages.Probe(sender, 'n0001', 0, (update,))
            nodes.handle('n0000', probe)
        sizes = []
        for _ in range(120):
            now_ms = nodes.now_ms = nodes.now_ms + 500
            commands = membership.handle(state, membership.ProbeTick(), now_ms)
            commands += membership.handle(
                state, messages.Probe(sender, 'n0001', 0), now_ms
            )
            pending = state.pending
            target = state.records[pending.target].member
            ack = messages.ProbeAck(target, target, 'n0000', pending.sequence)
            commands += membership.handle(state, ack, now_ms)
            for command in commands:
                # The node's own probes and acknowledgements, and a probe
                # of a listed dead member every two seconds.
                if not isinstance(command, messages.ToAddress):
                    continue
                updates = command.message.updates
                self.assertLessEqual(
                    len(updates), membership.MAX_MESSAGE_UPDATES
                )
                sizes.append(len(b''.join(peer.encode(command.message))))
        return sizes
