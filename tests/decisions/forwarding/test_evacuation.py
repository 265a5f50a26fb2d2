import dataclasses

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from tests.decisions.forwarding import gateway_case

RETURN_MS = 3_000


def domains_of(commands):
    return {
        sent.searcher.failure_domain for sent in gateway_case.sends(commands)
    }


class EvacuationTest(gateway_case.GatewayCase):
    def evacuate(self, *domains):
        update = forwarding.EvacuationChanged(frozenset(domains))
        return self.handle(update)

    def share_of_own_domain(self, count=100):
        """Return the share of requests that the own domain gets."""
        own = 0
        for _ in range(count):
            (sent,) = gateway_case.sends(self.arrive('/one/x', 2_000))
            own += sent.searcher.failure_domain == 'd1'
            self.answer(sent)
        return own / count

    def test_first_attempts_go_elsewhere(self):
        """Guards against requests to searchers under evacuation."""
        self.evacuate('d1')
        for target in ('/all/x', '/one/x', '/once/x'):
            self.assertEqual({'d2'}, domains_of(self.arrive(target)))

    def test_requests_in_flight_end_by_themselves(self):
        """Guards against answers that an evacuation throws away."""
        (sent,) = gateway_case.sends(self.arrive('/one/x'))
        self.assertEqual([], self.evacuate('d1'))
        (response,) = gateway_case.responses(self.answer(sent))
        self.assertEqual(200, response.status)

    def test_retries_and_hedges_stay_away(self):
        """Guards against a second attempt in the evacuated domain."""
        lost = forwarding.AttemptOutcome.LOST
        (sent,) = gateway_case.sends(self.arrive('/one/x'))
        self.evacuate('d2')
        self.assertEqual([], gateway_case.sends(self.end(sent, lost)))
        (sent,) = gateway_case.sends(self.arrive('/one/x'))
        hedges = self.handle(forwarding.HedgeTimer(self.last_call_id))
        # The only searcher left is hedged over a new connection.
        (hedge,) = gateway_case.sends(hedges)
        self.assertEqual(sent.searcher, hedge.searcher)
        self.assertEqual(0, hedge.max_idle_ms)

    def test_an_attempt_that_was_held_back_is_sent_elsewhere(self):
        """Guards against a request that fails because of an evacuation.

        Neither the retry budget nor the searcher is charged for it.
        """
        not_sent = forwarding.AttemptOutcome.NOT_SENT
        for target in ('/one/x', '/once/x'):
            self.evacuate()
            self.now_ms += RETURN_MS
            self.arrive(target)
            (sent,) = gateway_case.sends(self.arrive(target))
            self.evacuate('d1')
            self.state.budgets['s1'].fixed = -1e9
            self.assertEqual({'d2'}, domains_of(self.end(sent, not_sent)))
            health = self.state.health[sent.searcher.searcher_id]
            self.assertEqual(0, health.ejected_until_ms)

    def test_without_another_searcher_it_is_refused(self):
        """Guards against a refusal that another node could not repeat."""
        (sent,) = gateway_case.sends(self.arrive('/once/x'))
        self.evacuate('d1', 'd2')
        ended = forwarding.AttemptEnded(
            sent.attempt_id,
            forwarding.AttemptOutcome.NOT_SENT,
            detail=forwarding.EVACUATED,
        )
        (response,) = gateway_case.responses(self.handle(ended))
        self.assertEqual(503, response.status)

    def test_a_service_without_other_searchers_is_refused_at_once(self):
        """Guards against a late or untrue refusal, and a silent one."""
        self.evacuate('d1', 'd2')
        for target in ('/all/x', '/one/x'):
            commands = self.arrive(target)
            self.assertEqual([], gateway_case.sends(commands))
            (response,) = gateway_case.responses(commands)
            self.assertEqual(503, response.status)
            # All nodes refuse alike, so the retry waits longer than 50 ms.
            self.assertGreater(response.retry_after_ms, 50)
            self.assertIn(
                messages.Count('forwarding.refused.evacuated'), commands
            )
            (log,) = (
                command
                for command in commands
                if isinstance(command, messages.Decision)
                and command.name == 'request_refused'
            )
            self.assertEqual('evacuated', log.reason)
            self.assertIn('s1', log.fields['services'])
            self.assertEqual('d1,d2', log.fields['failure_domains'])

    def test_a_gather_without_one_part_is_answered(self):
        """Guards against a gather that is refused above its coverage."""
        searchers = [
            gateway_case.make_searcher(f's{n}', f's{n}', f'd{1 + (n == 4)}')
            for n in (1, 2, 3, 4)
        ]
        self.publish(searchers)
        self.evacuate('d2')
        sent = gateway_case.sends(self.arrive())
        self.assertEqual(3, len(sent))
        commands = [c for one in sent for c in self.answer(one, b'a' * 16)]
        (response,) = gateway_case.responses(commands)
        self.assertEqual(1, response.missing_parts)

    def test_new_and_returning_searchers_of_the_domain_are_not_used(self):
        """Guards against searchers that start during an evacuation."""
        self.evacuate('d1')
        self.publish([gateway_case.make_searcher('s1-d2', 's1', 'd2')])
        self.publish(
            [
                gateway_case.make_searcher('s1-d1', 's1', 'd1'),
                gateway_case.make_searcher('s1-new', 's1', 'd1'),
                gateway_case.make_searcher('s1-d2', 's1', 'd2'),
            ]
        )
        for _ in range(5):
            self.assertEqual({'d2'}, domains_of(self.arrive('/one/x')))

    def test_a_statement_during_an_evacuation_is_kept(self):
        """Guards against requests to a searcher that left meanwhile."""
        (sent,) = gateway_case.sends(self.arrive('/one/x'))
        self.evacuate('d1')
        ended = forwarding.AttemptEnded(
            sent.attempt_id,
            forwarding.AttemptOutcome.ANSWERED,
            200,
            signature='s',
            leaving=True,
        )
        self.handle(ended)
        self.evacuate()
        self.now_ms += RETURN_MS
        self.assertEqual(0, self.share_of_own_domain())

    def test_searchers_return_gradually(self):
        """Guards against a burst to searchers that have become cold."""
        self.evacuate('d1')
        self.assertEqual(0, self.share_of_own_domain())
        self.now_ms += 10_000
        self.evacuate()
        shares = []
        for _ in range(4):
            shares.append(self.share_of_own_domain())
            self.now_ms += RETURN_MS // 3
        for expected, share in zip((0, 1 / 3, 2 / 3, 1), shares, strict=True):
            self.assertAlmostEqual(expected, share, delta=0.02)

    def test_a_returning_searcher_is_used_if_there_is_no_other(self):
        """Guards against refusals after the end of an evacuation."""
        self.evacuate('d1', 'd2')
        self.evacuate()
        self.assertEqual(4, len(gateway_case.sends(self.arrive())))

    def test_what_was_measured_before_is_kept(self):
        """Guards against a slow searcher that is taken for a fast one."""
        health = self.state.health['s1-d1']
        health.record_answer(9.0, self.now_ms)
        before = health.slowness
        self.evacuate('d1')
        self.evacuate()
        self.assertEqual(before, health.slowness)


class EvacuatedCoordinatorsTest(gateway_case.GatewayCase):
    def setUp(self):
        super().setUp()
        self.handle(
            forwarding.NodesChanged(
                (
                    relaying.PeerNode('n1', '', 'd1', 1.0, '10.0.0.1:1'),
                    relaying.PeerNode('n2', '', 'd2', 10.0, '10.0.0.2:1'),
                    relaying.PeerNode('n3', '', 'd3', 10.0, '10.0.0.3:1'),
                )
            )
        )
        self.publish_in('d2', 'd3')

    def publish_in(self, *domains):
        self.publish(
            gateway_case.make_searcher(f's{n}-{domain}', f's{n}', domain)
            for n in (1, 2, 3, 4)
            for domain in domains
        )

    def evacuate(self, *domains):
        self.handle(forwarding.EvacuationChanged(frozenset(domains)))

    def coordinators(self):
        """Return the nodes to which gathers and groups are delegated."""
        self.state.coordinators.clear()
        return {
            command.coordinator.node_id
            for _ in range(6)
            for command in gateway_case.delegations(self.arrive())
        }

    def test_no_gather_is_delegated_for_the_sake_of_its_searchers(self):
        """Guards against gathers at nodes that have no usable searcher."""
        self.assertEqual({'n2', 'n3'}, self.coordinators())
        self.evacuate('d2')
        self.assertEqual({'n3'}, self.coordinators())
        self.evacuate('d2', 'd3')
        self.assertEqual(set(), self.coordinators())
        self.evacuate()
        self.assertEqual({'n2', 'n3'}, self.coordinators())

    def test_no_group_is_delegated_for_the_sake_of_its_searchers(self):
        """Guards against groups that the coordinator cannot gather."""
        nodes = self.state.coordination.nodes
        self.handle(
            forwarding.NodesChanged(
                tuple(dataclasses.replace(n, capacity=1.0) for n in nodes)
            )
        )
        self.publish_in('d2', 'd3')
        far = [
            gateway_case.make_searcher(f's{n}-x', f's{n}', 'd1')
            for n in (5, 6, 7, 8)
        ]
        route = dataclasses.replace(
            gateway_case.GATHER,
            targets=tuple(
                forwarding.WeightedService(f's{n}') for n in range(1, 9)
            ),
        )
        self.handle(
            forwarding.RoutesChanged(gateway_case.make_table(2, (route,)))
        )
        near = [s for found in self.state.searchers.values() for s in found]
        self.publish([*near, *far])
        self.assertEqual({'n2', 'n3'}, self.coordinators())
        self.evacuate('d3')
        self.assertEqual({'n2'}, self.coordinators())
        self.evacuate('d2', 'd3')
        self.assertEqual(set(), self.coordinators())

    def test_parts_of_an_evacuated_own_domain_are_gathered_remotely(self):
        """Guards against billed traffic for every part of an evacuation."""
        nodes = self.state.coordination.nodes
        self.handle(
            forwarding.NodesChanged(
                tuple(dataclasses.replace(n, capacity=1.0) for n in nodes)
            )
        )
        self.publish_in('d1', 'd2')
        self.assertEqual(set(), self.coordinators())
        self.evacuate('d1')
        self.assertEqual({'n2'}, self.coordinators())
