import unittest

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import owner
from tests.decisions import test_leaving_endpoints as leaving


class HandoverTest(unittest.TestCase):
    def setUp(self):
        self.members = list(leaving.NODES)
        self.state = owner.make_owner_state('n0')
        owner.handle(self.state, messages.MembersChanged(leaving.NODES), 0)
        owner.handle(self.state, leaving.make_catalog(1), 0)

    def holders(self):
        service = self.state.catalog.services['portal']
        found = self.state.ownership.find(service, 'set')
        return {found.owner, found.standby}

    def remove(self, node_id):
        """Return who is told of what once a member is gone."""
        self.members = [m for m in self.members if m.node_id != node_id]
        changed = messages.MembersChanged(tuple(self.members))
        sent = owner.handle(self.state, changed, 0)
        return {c.node_id for c in sent if isinstance(c, messages.ToPeer)}

    def test_a_new_standby_hears_of_a_reply(self):
        """Guards against work for a leaving endpoint from an owner that
        no reply has told yet (soak seeds 43 and 60).
        """
        news = messages.EndpointLeaving('n1', 'e1', 'reply', True)
        owner.handle(self.state, news, 0)
        gone = sorted(self.holders() - {'n0'})[0]
        told = self.remove(gone)
        self.assertEqual(self.holders() - {'n0'}, told)

    def test_other_changes_tell_nobody(self):
        """Guards against messages for every change in a large fleet."""
        news = messages.EndpointLeaving('n1', 'e1', 'reply', True)
        owner.handle(self.state, news, 0)
        others = [
            m.node_id
            for m in leaving.NODES
            if m.node_id not in self.holders() | {'n0'}
        ]
        self.remove(others[0])
        self.assertEqual(set(), self.remove(others[1]))

    def test_an_endpoint_that_is_back_is_not_told(self):
        """Guards against an old mark that takes an endpoint out again."""
        for is_leaving in (True, False):
            news = messages.EndpointLeaving('n1', 'e1', 'reply', is_leaving)
            owner.handle(self.state, news, 0)
        gone = sorted(self.holders() - {'n0'})[0]
        self.assertEqual(set(), self.remove(gone))
