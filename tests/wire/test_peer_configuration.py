import unittest

from gypsumbridge_decisions import messages
from gypsumbridge_wire import peer


class PeerConfigurationTest(unittest.TestCase):
    def test_pull_and_reply_are_unchanged_by_the_codec(self):
        """Guards against a field that the codec changes, such as an age of
        None that becomes 0.
        """
        report = messages.SubtreeReport(3, 2, 1, 4, 700)
        items = (messages.StoreItem('config/ranks/a', None, 4),)
        summary = messages.DomainSummary('fd-a', 4, None, report)
        for message in (
            messages.ConfigPull('n', 'fd-a', 1, 3, report, 2**64 - 1),
            messages.ConfigState(
                'n',
                'fd-a',
                1,
                4,
                True,
                None,
                5,
                9,
                items,
                4,
                summaries=(summary,),
            ),
        ):
            self.assertEqual(message, peer.decode(peer.encode(message)))
