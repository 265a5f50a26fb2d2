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

    def news(self, commands):
        """Return who is told what."""
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
        """Return the endpoints that the owner asks for three queries."""
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

    def test_relays_tell_owner_and_standby_of_a_listed_leaving(self):
        """Guards against an owner whose copy of the list lags, and against
        a message to it from every node of the fleet.
        """
        self.assertEqual(4, len(self.relays()))
        for node_id in self.states:
            told = self.news(self.handle(node_id, host_list(True)))
            wanted = {self.owner, self.standby} - {node_id}
            if node_id not in self.relays():
                wanted = set()
            self.assertEqual(wanted, set(told))

    def test_news_of_a_host_list_stops_and_resumes_an_endpoint(self):
        """Guards against new work for a leaving endpoint, and against one
        that is lost for good after its host has come back.
        """
        self.assertEqual(set(ENDPOINTS), self.used())
        news = messages.EndpointLeaving('n', 'e1', 'host_list', True)
        self.handle(self.owner, news)
        self.assertEqual({'e2'}, self.used())
        self.handle(self.owner, host_list(True))
        self.handle(self.owner, host_list(False))
        self.assertEqual(set(ENDPOINTS), self.used())

    def test_a_late_copy_of_the_host_list_does_not_stop_for_ever(self):
        """Guards against a mark that no later change withdraws."""
        news = messages.EndpointLeaving('n', 'e1', 'host_list', True)
        timers = [
            c
            for c in self.handle(self.owner, news)
            if isinstance(c, messages.Timer)
        ]
        self.handle(self.owner, timers[0].event)
        self.assertEqual(set(ENDPOINTS), self.used())

    def test_a_reply_tells_the_standby_and_a_health_check_resumes(self):
        """Guards against an endpoint process that restarts and never gets
        work again.
        """
        request = self.send()[0]
        commands = self.reply(request, leaving=True)
        self.assertEqual({self.standby}, set(self.news(commands)))
        timer = [c for c in commands if isinstance(c, messages.Timer)][-1]
        left = set(ENDPOINTS) - {request.endpoint}
        self.assertEqual(left, self.used())
        checks = self.handle(self.owner, timer.event)
        self.assertEqual(request.endpoint, checks[0].endpoint)
        still = messages.EndpointHealth(request.endpoint, False)
        self.assertEqual([timer], self.handle(self.owner, still))
        self.assertEqual(left, self.used())
        back = messages.EndpointHealth(request.endpoint, True)
        told = self.news(self.handle(self.owner, back))
        self.assertFalse(told[self.standby].leaving)
        self.assertEqual(set(ENDPOINTS), self.used())

    def test_an_older_catalog_does_not_undo_an_operators_news(self):
        """Guards against work sent to a leaving endpoint while its owner's
        configuration is still catching up.
        """
        relay = sorted(self.relays() - {self.owner})[0]
        told = self.news(self.handle(relay, make_catalog(5, ('e1',))))
        self.used()
        self.handle(self.owner, told[self.owner])
        self.assertEqual({'e2'}, self.used())
        self.handle(self.owner, make_catalog(4))
        self.assertEqual({'e2'}, self.used())
        self.handle(self.owner, make_catalog(6))
        self.assertEqual(set(ENDPOINTS), self.used())
        self.handle(self.owner, told[self.owner])
        self.assertEqual(set(ENDPOINTS), self.used())
