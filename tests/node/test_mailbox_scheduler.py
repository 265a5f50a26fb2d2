import dataclasses
import unittest

from gypsumbridge_node import mailbox


class Reactor:
    """Keeps delayed calls until the test runs them one by one."""

    def __init__(self):
        self.calls = []

    def callLater(self, delay_s, call, *arguments):
        self.calls.append((call, arguments))

    def run_one(self):
        call, arguments = self.calls.pop(0)
        call(*arguments)


@dataclasses.dataclass(frozen=True)
class Mailboxes:
    first: mailbox.Mailbox
    second: mailbox.Mailbox
    third: mailbox.Mailbox


class MailboxSchedulerTest(unittest.TestCase):
    def setUp(self):
        self.reactor = Reactor()
        self.errors = []
        self.received = []
        self.mailboxes = mailbox.make_mailboxes(
            Mailboxes, self.reactor, lambda *error: self.errors.append(error)
        )
        self.mailboxes.third.start(self.received.append)

    def test_a_message_passes_all_tasks_in_one_iteration(self):
        """Guards against waiting for all ready sockets at each task."""
        self.mailboxes.first.start(self.mailboxes.second.put)
        self.mailboxes.second.start(self.mailboxes.third.put)
        self.mailboxes.first.put('a')
        self.assertEqual([], self.received)
        self.reactor.run_one()
        self.assertEqual(['a'], self.received)

    def test_messages_keep_their_order(self):
        """Guards against handling a later message first."""
        self.mailboxes.first.start(self.mailboxes.third.put)
        for number in range(5):
            self.mailboxes.first.put(number)
        self.reactor.run_one()
        self.assertEqual([0, 1, 2, 3, 4], self.received)

    def test_a_task_that_messages_itself_does_not_starve_the_sockets(self):
        """Guards against a loop that never polls the sockets."""
        self.mailboxes.first.start(self.mailboxes.first.put)
        self.mailboxes.first.put('again')
        self.reactor.run_one()
        self.assertEqual(1, len(self.reactor.calls))

    def test_an_exception_loses_only_one_message(self):
        """Guards against a task that stops at its first exception."""

        def handle(message):
            if message == 1:
                raise ValueError(message)
            self.received.append(message)

        self.mailboxes.first.start(handle)
        for number in range(3):
            self.mailboxes.first.put(number)
        self.reactor.run_one()
        self.assertEqual([0, 2], self.received)
        self.assertEqual(1, len(self.errors))
