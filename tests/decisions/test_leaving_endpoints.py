import unittest

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import owner
from gypsumbridge_decisions import resources

NODES = tuple(
    messages.Member(f'n{i}', f'fd-{i % 2}', f'p{i}', f'h{i}') for i in range(8)
)
ENDPOINTS = ('e1', 'e2')


def make_catalog(revision, leaving=()):
    specs = [resources.Rank('border', 0, 0.5, 200)]
    version = resources.IndexVersion('v', {'s': 'set'})
    specs.append(resources.Service('portal', (version,), 'v'))
    for name in ENDPOINTS:
        specs.append(
            resources.Endpoint(
                name,
                'portal',
                'set',
                '127.0.0.1',
                1,
                'fd',
                leaving=name in leaving,
            )
        )
    declared = [
        resources.Resource(resources.kind_of(s), s.name, 1, 1, '', s)
        for s in specs
    ]
    return messages.CatalogChanged(catalog.make_catalog(revision, declared))


def host_list(leaving):
    entry = messages.HostEntry('e1', 'endpoint', 'fd', '', '', leaving)
    return messages.HostList((entry,))


class LeavingEndpointsTest(unittest.TestCase):
    def setUp(self):
        self.states = {}
        serving = messages.ServingChanged(messages.MissingReason.NONE)
        for node in NODES:
            state = owner.make_owner_state(node.node_id)
            self.states[node.node_id] = state
            for message in (
                messages.MembersChanged(NODES),
                make_catalog(1),
                serving,
            ):
                owner.handle(state, message, 0)
        made = next(iter(self.states.values()))
        service = made.catalog.services['portal']
        found = made.ownership.find(service, 'set')
        self.owner, self.standby = found.owner, found.standby
        self.next_query = 0

    def handle(self, node_id, message):
        return owner.handle(self.states[node_id], message, 0)

    def notices(self, commands):
        """Return the leaving notice that each node is sent."""
        return {
            c.node_id: c.message
            for c in commands
            if isinstance(c, messages.ToPeer)
            and isinstance(c.message, messages.EndpointLeaving)
        }

    def send(self):
        self.next_query += 1
        batch = messages.ShardBatch(
            'front',
            str(self.next_query),
            1,
            'portal',
            'v',
            'border',
            'c',
            900,
            0.0,
            1,
            b'',
            (messages.ShardCall('s', 'set'),),
        )
        return self.handle(self.owner, batch)

    def used(self):
        """Return the endpoints to which the owner sends three queries."""
        commands = [c for _ in range(3) for c in self.send()]
        used = set()
        while commands:
            command = commands.pop(0)
            if isinstance(command, messages.EndpointRequest):
                used.add(command.endpoint)
                commands += self.reply(command)
        return used

    def reply(self, request, leaving=False):
        status = messages.EndpointStatus.OK
        return self.handle(
            self.owner,
            messages.EndpointReply(
                request.call_id,
                request.endpoint,
                status,
                True,
                's',
                'v',
                b'{}',
                leaving,
            ),
        )

    def relays(self):
        return {i for i, state in self.states.items() if state.is_relay}

    def test_relays_notify_owner_and_standby_of_a_leaving_host(self):
        """Guards against calls from an owner whose copy of the host list
        lags, and against a message to it from every node of the fleet.
        """
        self.assertEqual(4, len(self.relays()))
        for node_id in self.states:
            notified = self.notices(self.handle(node_id, host_list(True)))
            expected = {self.owner, self.standby} - {node_id}
            if node_id not in self.relays():
                expected = set()
            self.assertEqual(expected, set(notified))

    def test_a_host_list_notice_stops_and_resumes_an_endpoint(self):
        """Guards against new work for a leaving endpoint, and against an
        endpoint that stays unused after its host has returned to service.
        """
        self.assertEqual(set(ENDPOINTS), self.used())
        notice = messages.EndpointLeaving('n', 'e1', 'host_list', True)
        self.handle(self.owner, notice)
        self.assertEqual({'e2'}, self.used())
        self.handle(self.owner, host_list(True))
        self.handle(self.owner, host_list(False))
        self.assertEqual(set(ENDPOINTS), self.used())

    def test_a_notice_from_an_outdated_host_list_expires(self):
        """Guards against a leaving flag that no later change clears."""
        notice = messages.EndpointLeaving('n', 'e1', 'host_list', True)
        timers = [
            c
            for c in self.handle(self.owner, notice)
            if isinstance(c, messages.Timer)
        ]
        self.handle(self.owner, timers[0].event)
        self.assertEqual(set(ENDPOINTS), self.used())

    def test_a_leaving_reply_is_forwarded_until_a_health_check_passes(self):
        """Guards against an endpoint process that restarts and never gets
        work again.
        """
        request = self.send()[0]
        commands = self.reply(request, leaving=True)
        self.assertEqual({self.standby}, set(self.notices(commands)))
        timer = [c for c in commands if isinstance(c, messages.Timer)][-1]
        remaining = set(ENDPOINTS) - {request.endpoint}
        self.assertEqual(remaining, self.used())
        checks = self.handle(self.owner, timer.event)
        self.assertEqual(request.endpoint, checks[0].endpoint)
        not_serving = messages.EndpointHealth(request.endpoint, False)
        self.assertEqual([timer], self.handle(self.owner, not_serving))
        self.assertEqual(remaining, self.used())
        serving = messages.EndpointHealth(request.endpoint, True)
        notified = self.notices(self.handle(self.owner, serving))
        self.assertFalse(notified[self.standby].leaving)
        self.assertEqual(set(ENDPOINTS), self.used())

    def test_an_older_catalog_does_not_undo_an_operators_notice(self):
        """Guards against work sent to a leaving endpoint while its owner's
        configuration lags.
        """
        relay = sorted(self.relays() - {self.owner})[0]
        notified = self.notices(self.handle(relay, make_catalog(5, ('e1',))))
        self.used()
        self.handle(self.owner, notified[self.owner])
        self.assertEqual({'e2'}, self.used())
        self.handle(self.owner, make_catalog(4))
        self.assertEqual({'e2'}, self.used())
        self.handle(self.owner, make_catalog(6))
        self.assertEqual(set(ENDPOINTS), self.used())
        self.handle(self.owner, notified[self.owner])
        self.assertEqual(set(ENDPOINTS), self.used())
