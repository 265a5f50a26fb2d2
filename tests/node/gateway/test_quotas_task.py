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
TABLE = forwarding.RouteTable(
    4,
    {},
    {},
    forwarding.IngressLimits(),
    forwarding.CustomerTable(
        {
            'ann': forwarding.Customer('ann', None, 2.0, 5.0),
            'bob': forwarding.Customer('bob'),
        },
        {},
    ),
)
# Enough for the takeover of a partition without an entry.
TAKEOVER_S = 5


class QuotasTaskTest(unittest.TestCase):
    def setUp(self):
        self.reactor = task.Clock()
        self.time = clocks.ManualTime(1_000)
        self.warnings = []
        self.sent = []
        boxes = mailbox.make_mailboxes(
            gateway_mailboxes.GatewayMailboxes, self.reactor, self.fail_handler
        )
        for name in ('forwarding', 'store', 'grants', 'holders'):
            getattr(boxes, name).start(self.sent.append)
        self.mailbox = boxes.quotas
        quotas_task.start_quotas_task(
            types.SimpleNamespace(
                clock=self.time.clock(),
                logger=types.SimpleNamespace(
                    warning=lambda text, extra: self.warnings.append(extra)
                ),
                decision_log=types.SimpleNamespace(write=lambda line: None),
                metrics=types.SimpleNamespace(count=lambda *a: None),
                mailboxes=boxes,
                settings=types.SimpleNamespace(
                    node=types.SimpleNamespace(
                        node_id='n1', failure_domain='d1'
                    ),
                    listen=types.SimpleNamespace(
                        peers='', callers='10.0.0.1:1'
                    ),
                    quota=quota_settings.QuotaSettings(
                        partitions=1, first_start=True
                    ),
                ),
            )
        )

    def fail_handler(self, error, message):
        raise error

    def put(self, *found):
        for message in found:
            self.mailbox.put(message)
        self.reactor.advance(0)

    def confirm(self):
        now_ms = self.time.clock().boot_ms()
        self.put(forwarding.CopyConfirmed(self.time.value_ms, now_ms))

    def take_over(self):
        """Pass the time for a takeover; return the record written."""
        for _ in range(TAKEOVER_S):
            self.time.advance(1_000)
            self.confirm()
            self.reactor.advance(1)
        writes = [m for m in self.sent if isinstance(m, quotas.WriteHolder)]
        return writes[0].record if writes else None

    def ask(self, call_id, customer='ann'):
        self.put(quotas.AdmissionRequest(call_id, 'r', customer, 900))
        return self.sent[-1].outcome

    def test_a_single_node_admits_by_its_own_partitions(self):
        """Guards against messages that reach the wrong task."""
        nodes = forwarding.NodesChanged((OWN,))
        self.put(forwarding.RoutesChanged(TABLE), nodes)
        record = self.take_over()
        self.assertEqual('n1', record.node_id)
        self.put(
            quotas.HoldersChanged(
                (quotas.HolderRecord(0, 'n1', record.claim, 7),)
            )
        )
        self.confirm()
        self.assertEqual(quotas.AdmissionOutcome.ADMITTED, self.ask(1))
        self.assertEqual([], self.warnings)
        self.time.suspend(31_000)
        self.assertEqual(quotas.AdmissionOutcome.UNKNOWN, self.ask(2))
        self.put(
            quotas.GrantAsked(3, quotas.GrantRequest(0, 'ann', 1)),
        )
        self.assertEqual('stale_proof', self.sent[-1].reply.refusal)
        outcome = self.ask(4, customer='bob')
        self.assertEqual(quotas.AdmissionOutcome.ADMITTED, outcome)

    def test_a_node_that_nobody_can_ask_warns_and_holds_nothing(self):
        """Guards against holders that no other node can reach."""
        nodes = forwarding.NodesChanged((OWN, OTHER))
        self.put(forwarding.RoutesChanged(TABLE), nodes)
        self.assertEqual([{'nodes': 2}], self.warnings)
        self.assertIsNone(self.take_over())
        self.assertEqual(quotas.AdmissionOutcome.UNKNOWN, self.ask(1))

    def test_a_configuration_without_customers_has_no_quotas(self):
        """Guards against a start that fails without customers."""
        table = forwarding.RouteTable(1, {}, {}, forwarding.IngressLimits())
        self.assertEqual(
            quotas.QuotasChanged(1, {}), quotas_task.read_quotas(table)
        )
        self.put(forwarding.RoutesChanged(table))
        self.put(forwarding.NodesChanged((OWN,)))
        self.assertIsNone(self.take_over())
