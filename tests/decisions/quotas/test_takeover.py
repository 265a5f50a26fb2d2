from gypsumbridge_decisions import quotas
from gypsumbridge_decisions import relaying
from tests.decisions.quotas import quota_case


def make_nodes(*domains):
    return tuple(
        relaying.PeerNode(f'n{number}', '10.0.0.1:1', domain, 1.0)
        for number, domain in enumerate(domains)
    )


class CandidatesTest(quota_case.unittest.TestCase):
    def test_the_first_candidates_of_partitions_are_in_turn_of_domains(self):
        """Guards against a failure domain that holds a whole quota."""
        nodes = make_nodes(*'aaaabbbbcccc')
        domains = {node.node_id: node.failure_domain for node in nodes}
        for partition in range(7):
            found = quotas.find_candidates(nodes, partition)
            names = [domains[node_id] for node_id in found]
            first = partition % 3
            self.assertEqual(list('abcab'[first : first + 3]), names)

    def test_fewer_domains_have_several_candidates_each(self):
        """Guards against a partition without a successor."""
        self.assertEqual(
            3, len(set(quotas.find_candidates(make_nodes(*'aaab'), 0)))
        )
        self.assertEqual(
            2, len(set(quotas.find_candidates(make_nodes(*'aa'), 0)))
        )
        self.assertEqual((), quotas.find_candidates((), 0))

    def test_a_node_that_answers_no_other_node_is_no_candidate(self):
        """Guards against a holder that nobody can ask."""
        node = relaying.PeerNode('n', '', 'a', 1.0)
        self.assertEqual((), quotas.find_candidates((node,), 0))


class LargeNodesTest(quota_case.unittest.TestCase):
    """Nodes of three domains, each with one of the capacities given."""

    def ranked_domains(self, capacities, partition):
        """Return domain and capacity of the candidates, in order."""
        nodes = {
            f'{domain}{number}': (domain, capacity)
            for domain, values in capacities.items()
            for number, capacity in enumerate(values)
        }
        peers = [
            relaying.PeerNode(node_id, '10.0.0.1:1', domain, capacity)
            for node_id, (domain, capacity) in nodes.items()
        ]
        found = quotas.find_candidates(peers, partition)
        return [nodes[node_id] for node_id in found]

    def test_large_nodes_come_first_and_domains_take_turns(self):
        """Guards against holders that are the last to start, and against a
        failure domain that holds a whole quota.
        """
        # Half of the largest capacity is still large.
        domains = {
            'a': [1.0] * 9 + [4.0],
            'b': [1.9] * 9 + [2.0],
            'c': [1.0] * 9 + [3.0],
        }
        turns = [('a', 4.0), ('b', 2.0), ('c', 3.0)] * 2
        for partition in range(7):
            first = partition % 3
            found = self.ranked_domains(domains, partition)
            self.assertEqual(turns[first : first + 3], found)

    def test_a_domain_without_a_large_node_takes_its_turn(self):
        """Guards against domains that are left out because their nodes are
        small.
        """
        domains = {'a': [1.0, 4.0], 'b': [1.0, 1.0], 'c': [4.0, 1.0]}
        turns = [('a', 4.0), ('b', 1.0), ('c', 4.0)] * 2
        for partition in range(7):
            first = partition % 3
            found = self.ranked_domains(domains, partition)
            self.assertEqual(turns[first : first + 3], found)

    def test_small_nodes_of_a_domain_follow_its_large_ones(self):
        """Guards against a small node that is asked to take over while a
        large one of its domain is a candidate.
        """
        for partition in range(7):
            found = self.ranked_domains({'a': [1.0, 4.0, 1.0]}, partition)
            self.assertEqual([4.0, 1.0, 1.0], [c for _, c in found])


class TakeoverTest(quota_case.QuotaCase):
    """Node n2 is the first candidate of partition 0, the second of 2 and the
    third of 1.
    """

    def taken_over(self, commands):
        return [record.partition for record in self.writes(commands)]

    def probes(self, commands):
        return {
            c.request.partition: c
            for c in commands
            if isinstance(c, quotas.AskHolder) and not c.request.tokens
        }

    def answer_probes(self, seconds, refusal=''):
        """Let seconds pass in which the holder of partition 0 answers."""
        commands = []
        for _ in range(seconds):
            more = self.wait(1_000)
            commands += more
            for partition, probe in self.probes(more).items():
                message = quotas.HolderFailed(probe.ask_id, 'timeout')
                if partition == 0:
                    reply = quotas.GrantReply(refusal=refusal)
                    message = quotas.HolderAnswered(probe.ask_id, reply)
                commands += self.handle(message)
        return commands

    def test_the_candidates_take_over_one_after_the_other(self):
        """Guards against a partition that stays without a holder, and against
        candidates that disturb each other.
        """
        self.handle(quotas.QuotaTimer())
        self.assertNotIn(0, self.taken_over(self.wait(4_000)))
        commands = self.wait(1_000)
        self.assertIn(0, self.taken_over(commands))
        taken = ('partition_taken_over', 'holder_silent')
        self.assertIn(taken, self.logged(commands))
        self.assertNotIn(2, self.taken_over(self.wait(4_000)))
        self.assertIn(2, self.taken_over(self.wait(1_000)))
        self.assertNotIn(1, self.taken_over(self.wait(4_000)))
        self.assertIn(1, self.taken_over(self.wait(1_000)))

    def test_the_takeover_is_conditional_on_the_known_entry(self):
        """Guards against two nodes that both take over."""
        record = self.writes(self.wait(6_000))[0]
        expected = quotas.HolderRecord(record.partition, 'n2', 3, 1)
        self.assertEqual(expected, record)

    def test_a_holder_that_answers_keeps_its_partition(self):
        """Guards against needless takeovers, each of which costs 31 s."""
        self.assertNotIn(0, self.taken_over(self.answer_probes(30)))
        waiting = self.answer_probes(30, 'waiting')
        self.assertNotIn(0, self.taken_over(waiting))

    def test_the_answer_of_a_former_holder_does_not_count(self):
        """Guards against a lost holder that seems to answer."""
        probe = self.probes(self.wait(1_000))[0]
        self.hold(0, 'n5', claim=4)
        self.copy()
        self.wait(4_000)
        reply = quotas.HolderAnswered(probe.ask_id, quotas.GrantReply())
        self.handle(reply)
        self.assertIn(0, self.taken_over(self.wait(2_000)))

    def test_a_holder_without_the_store_is_replaced(self):
        """Guards against a partition that is lost for as long as its holder
        is cut off from the store.
        """
        commands = self.answer_probes(6, 'stale_proof')
        self.assertIn(0, self.taken_over(commands))

    def test_a_node_without_the_store_takes_nothing_over(self):
        """Guards against takeovers from all holders after an outage of the
        store, in which none of them could renew its proof.
        """
        commands = self.wait(60_000, confirmed=False)
        self.confirm()
        commands += self.wait(4_000)
        self.assertEqual([], self.writes(commands))

    def test_a_candidate_that_was_suspended_takes_nothing_over(self):
        """Guards against a node that takes its own sleep for a silence."""
        self.wait(1_000)
        self.now_ms += 3_600_000
        commands = self.handle(quotas.QuotaTimer())
        self.confirm()
        commands += self.wait(3_000)
        self.assertEqual([], self.writes(commands))

    def test_a_node_that_becomes_a_candidate_probes_first(self):
        """Guards against a takeover from a holder that this node has not
        probed for long, after nodes were added or removed.
        """
        others = tuple(
            node for node in quota_case.PEERS if node.node_id != 'n2'
        )
        self.handle(quota_case.forwarding.NodesChanged(others))
        self.wait(60_000)
        self.handle(quota_case.forwarding.NodesChanged(quota_case.PEERS))
        commands = self.wait(5_000)
        self.assertEqual([], self.writes(commands))
        self.assertIn(0, self.taken_over(self.wait(1_000)))

    def test_a_missing_entry_is_written_after_the_fleet_has_settled(self):
        """Guards against a first node that takes all partitions."""
        self.holders = {}
        self.start()
        self.handle(quotas.QuotaTimer())
        self.assertEqual([], self.writes(self.wait(1_000)))
        self.assertIn(0, self.taken_over(self.wait(1_000)))

    def test_a_lost_write_is_made_again(self):
        """Guards against a takeover that hangs on one lost answer."""
        commands = self.wait(6_000)
        self.assertEqual(1, self.taken_over(commands).count(0))
        self.assertNotIn(0, self.taken_over(self.wait(5_000)))
        self.handle(quotas.HolderWritten(0, 0))
        self.assertIn(0, self.taken_over(self.wait(1_000)))

    def test_a_written_entry_is_not_written_again_before_it_is_seen(self):
        """Guards against conflicts with the node's own write."""
        self.wait(6_000)
        self.handle(quotas.HolderWritten(0, 7))
        self.assertNotIn(0, self.taken_over(self.wait(3_000)))

    def test_an_odd_partition_is_ignored(self):
        """Guards against an answer for a partition that does not exist."""
        self.assertEqual([], self.handle(quotas.HolderWritten(9, 1)))

    def test_probes_cost_one_message_a_second(self):
        """Guards against probes that grow with the number of nodes."""
        commands = self.wait(1_000)
        self.assertLessEqual(len(self.probes(commands)), 5)
        others = [
            quotas.make_quota_state(
                quotas.QuotaPolicy(f'x{n}', 'a', 5_000, 0.1, 20.0, 5, 30_000)
            )
            for n in range(3)
        ]
        for state in others:
            quotas.handle(
                state,
                quota_case.forwarding.NodesChanged(quota_case.PEERS),
                self.now_ms,
            )
            probing = quotas.handle(state, quotas.QuotaTimer(), self.now_ms)
            self.assertEqual({}, self.probes(probing))
