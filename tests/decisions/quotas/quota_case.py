"""A node that runs the quota decisions, driven message by message."""

import unittest

from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import quotas
from gypsumbridge_decisions import relaying

OWN = 'n2'
HOLDERS = ('n1', 'n3', 'n4', 'n5', 'n6')
TTL_MS = 30_000
WAIT_MS = 31_000
ADMITTED = quotas.AdmissionOutcome.ADMITTED
OVER_QUOTA = quotas.AdmissionOutcome.OVER_QUOTA
UNKNOWN = quotas.AdmissionOutcome.UNKNOWN
PEERS = tuple(
    relaying.PeerNode(f'n{number}', f'10.0.0.{number}:1', domain, 1.0)
    for number, domain in enumerate('aabbcc', start=1)
)


class QuotaCase(unittest.TestCase):
    """Node n2 of six, which holds no partition at first; see HOLDERS.

    The limit of customer `c` allows 4 requests a second and a burst of 12;
    customer `free` has none.
    """

    first_start = False
    slack = 20.0

    def setUp(self):
        self.now_ms = 1_000_000
        self.last_call_id = 0
        self.calls = {}
        self.revision = 1
        self.era = 0
        self.holders = {
            number: quotas.HolderRecord(number, node_id, 2, 1)
            for number, node_id in enumerate(HOLDERS)
        }
        self.start()

    def start(self):
        """Start a process that has read the store."""
        self.state = quotas.make_quota_state(
            quotas.QuotaPolicy(
                OWN, 'a', 5_000, 0.1, self.slack, 5, TTL_MS, self.first_start
            )
        )
        self.handle(forwarding.NodesChanged(PEERS))
        limits = {'c': quotas.Quota(4, 12), 'free': quotas.Quota(0, 0)}
        self.handle(quotas.QuotasChanged(1, limits))
        self.copy()

    def handle(self, message):
        return quotas.handle(self.state, message, self.now_ms)

    def copy(self, age_ms=0):
        """Report the entries of the store, and that they are current."""
        records = tuple(self.holders.values())
        commands = self.handle(quotas.HoldersChanged(records))
        return commands + self.confirm(age_ms)

    def confirm(self, age_ms=0):
        proven_ms = self.now_ms - age_ms
        return self.handle(
            forwarding.CopyConfirmed(self.now_ms, proven_ms, self.era)
        )

    def hold(self, partition, node_id, claim=2):
        """Write an entry into the store, as of its current era."""
        self.revision += 1
        self.holders[partition] = quotas.HolderRecord(
            partition, node_id, claim, self.revision, self.era
        )

    def restore(self, **entries):
        """Bring the store back in a new era, with other holders."""
        self.era += 1
        self.revision = 0
        self.holders = {}
        for name, node_id in entries.items():
            self.hold(int(name[1:]), node_id)

    def wait(self, delta_ms, confirmed=True):
        """Let time pass, with a tick and a confirmed copy each second."""
        commands = []
        end_ms = self.now_ms + delta_ms
        while self.now_ms < end_ms:
            self.now_ms = min(self.now_ms + 1_000, end_ms)
            if confirmed:
                commands += self.confirm()
            commands += self.handle(quotas.QuotaTimer())
        return commands

    def ask(self, partition, tokens=1, customer='c'):
        """Ask this node for tokens; return its reply."""
        request = quotas.GrantRequest(partition, customer, tokens)
        commands = self.handle(quotas.GrantAsked(7, request))
        answers = [c for c in commands if isinstance(c, quotas.AnswerGrant)]
        self.assertEqual([7], [answer.call_id for answer in answers])
        return answers[0].reply

    def request(self, customer='c', left_ms=900):
        """Send a request of a customer; return the commands."""
        self.last_call_id += 1
        return self.handle(
            quotas.AdmissionRequest(
                self.last_call_id, f'r{self.last_call_id}', customer, left_ms
            )
        )

    def reply(self, commands, **fields):
        """Answer the outstanding request for tokens."""
        asked = self.asked(commands)
        reply = quotas.GrantReply(**fields)
        return self.handle(quotas.HolderAnswered(asked.ask_id, reply))

    def miss(self, commands):
        """End the outstanding request for tokens without an answer."""
        asked = self.asked(commands)
        return self.handle(quotas.HolderFailed(asked.ask_id, 'timeout'))

    def asked(self, commands):
        """Return the only request for tokens among the commands."""
        found = [c for c in commands if isinstance(c, quotas.AskHolder)]
        self.assertEqual(1, len(found), commands)
        return found[0]

    def results(self, commands):
        return [c for c in commands if isinstance(c, quotas.AdmissionResult)]

    def outcomes(self, commands):
        return [result.outcome for result in self.results(commands)]

    def logged(self, commands):
        return [
            (c.name, c.reason)
            for c in commands
            if isinstance(c, messages.Decision)
        ]

    def writes(self, commands):
        return [
            c.record for c in commands if isinstance(c, quotas.WriteHolder)
        ]
