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

    def owners(self):
        service = self.state.catalog.services['portal']
        found = self.state.ownership.find(service, 'set')
        return {found.owner, found.standby}

    def remove(self, node_id):
        """Remove a member; return the nodes that get a message."""
        self.members = [m for m in self.members if m.node_id != node_id]
        changed = messages.MembersChanged(tuple(self.members))
        sent = owner.handle(self.state, changed, 0)
        return {c.node_id for c in sent if isinstance(c, messages.ToPeer)}

    def test_a_new_standby_is_notified_of_a_leaving_reply(self):
        """Guards against an owner that sends calls to a leaving endpoint
        until one of its own replies has the flag (soak seeds 43 and 60).
        """
        notice = messages.EndpointLeaving('n1', 'e1', 'reply', True)
        owner.handle(self.state, notice, 0)
        removed = sorted(self.owners() - {'n0'})[0]
        notified = self.remove(removed)
        self.assertEqual(self.owners() - {'n0'}, notified)

    def test_other_membership_changes_send_no_notice(self):
        """Guards against messages for every change in a large fleet."""
        notice = messages.EndpointLeaving('n1', 'e1', 'reply', True)
        owner.handle(self.state, notice, 0)
        others = [
            m.node_id
            for m in leaving.NODES
            if m.node_id not in self.owners() | {'n0'}
        ]
        self.remove(others[0])
        self.assertEqual(set(), self.remove(others[1]))

    def test_no_notice_is_sent_for_a_resumed_endpoint(self):
        """Guards against an outdated notice that stops an endpoint again."""
        for is_leaving in (True, False):
            notice = messages.EndpointLeaving('n1', 'e1', 'reply', is_leaving)
            owner.handle(self.state, notice, 0)
        removed = sorted(self.owners() - {'n0'})[0]
        self.assertEqual(set(), self.remove(removed))
