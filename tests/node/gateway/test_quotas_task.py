import types
import unittest

from twisted.internet import task

from gypsumbridge_decisions import clock as clocks
from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import quotas
from gypsumbridge_decisions import relaying
from gypsumbridge_node import mailbox
from gypsumbridge_node.gateway import gateway_mailboxes
from gypsumbridge_node.gateway.settings import quota_settings
from gypsumbridge_node.gateway.tasks import quotas_task

OWN = relaying.PeerNode('n1', '', 'd1', 1.0)
OTHER = relaying.PeerNode('n2', '', 'd1', 1.0)
CUSTOMERS = forwarding.CustomerTable(
    {
        'ann': forwarding.Customer('ann', None, 2.0, 5.0),
        'bob': forwarding.Customer('bob'),
    },
    {},
)
TABLE = forwarding.RouteTable(4, {}, {}, forwarding.IngressLimits(), CUSTOMERS)
# Enough for the takeover of a partition without an entry.
TAKEOVER_S = 5
Outcome = quotas.AdmissionOutcome


class QuotasTaskTest(unittest.TestCase):
    def start(self, *nodes):
        self.reactor = task.Clock()
        self.time = clocks.ManualTime(1_000)
        self.warnings = []
        self.sent = []
        boxes = mailbox.make_mailboxes(
            gateway_mailboxes.GatewayMailboxes, self.reactor, print
        )
        for name in ('forwarding', 'store', 'grants', 'holders'):
            getattr(boxes, name).start(self.sent.append)
        self.mailbox = boxes.quotas
        make = types.SimpleNamespace
        settings = make(
            node=make(node_id='n1', failure_domain='d1'),
            listen=make(peers='', callers='10.0.0.1:1'),
            quota=quota_settings.QuotaSettings(partitions=1, first_start=True),
        )
        quotas_task.start_quotas_task(
            make(
                clock=self.time.clock(),
                logger=make(warning=lambda *a, extra: self.warnings.append(1)),
                decision_log=make(write=lambda line: None),
                metrics=make(count=lambda *a: None),
                mailboxes=boxes,
                settings=settings,
            )
        )
        self.put(forwarding.RoutesChanged(TABLE))
        self.put(forwarding.NodesChanged(nodes))
        for _ in range(TAKEOVER_S):
            self.time.advance(1_000)
            self.confirm()
            self.reactor.advance(1)
        return [m.record for m in self.sent if hasattr(m, 'record')]

    def put(self, message):
        self.mailbox.put(message)
        self.reactor.advance(0)

    def confirm(self):
        now_ms = self.time.clock().boot_ms()
        self.put(forwarding.CopyConfirmed(self.time.value_ms, now_ms))

    def ask(self, customer):
        self.put(quotas.AdmissionRequest(1, 'r', customer, 900))
        return self.sent[-1].outcome

    def test_a_single_node_admits_by_its_own_partitions(self):
        """Guards against messages that reach the wrong task, and against
        grants after a suspension of the host.
        """
        (record, *_) = self.start(OWN)
        entry = quotas.HolderRecord(0, record.node_id, record.claim, 7)
        self.put(quotas.HoldersChanged((entry,)))
        self.confirm()
        self.assertEqual(Outcome.ADMITTED, self.ask('ann'))
        self.assertEqual([], self.warnings)
        self.time.suspend(31_000)
        self.assertEqual(Outcome.UNKNOWN, self.ask('ann'))
        self.put(quotas.GrantAsked(3, quotas.GrantRequest(0, 'ann', 1)))
        self.assertEqual('stale_proof', self.sent[-1].reply.refusal)
        self.assertEqual(Outcome.ADMITTED, self.ask('bob'))

    def test_a_node_that_nobody_can_ask_warns_and_holds_nothing(self):
        """Guards against holders that no other node can reach."""
        self.assertEqual([], self.start(OWN, OTHER))
        self.assertEqual([1], self.warnings)
        self.assertEqual(Outcome.UNKNOWN, self.ask('ann'))
