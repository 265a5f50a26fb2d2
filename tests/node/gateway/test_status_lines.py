"""Statuses that no server sends, where the gateway is a client."""

import unittest

import hypothesis

from gypsumbridge_decisions import discovery
from gypsumbridge_decisions import forwarding
from gypsumbridge_decisions import relaying
from gypsumbridge_node.gateway.tasks import searchers
from gypsumbridge_wire import delegated_reply
from gypsumbridge_wire import delegation
from gypsumbridge_wire import relay
from tests.node.gateway import test_run_together_answers
from tests.node.gateway import test_run_together_calls
from tests.wire import status_lines
from tests.wire import test_delegation
from tests.wire import test_relay

Outcome = forwarding.AttemptOutcome
FINAL_LINE = 'HTTP/1.1 200 OK'
EXAMPLES = hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True
)
REPLY = delegation.encode_reply(
    delegated_reply.DelegatedReply('', test_delegation.RESPONSE, 1)
)


def replace_line(answer, line):
    """Return an answer with another status line."""
    return line.encode('latin-1') + answer[answer.index(b'\r\n') :]


def end_interim(line):
    return line.encode('latin-1') + b'\r\n\r\n'


class StatusLinesTest(unittest.TestCase):
    def receive_attempt(self, data, is_part):
        """Return the end of an attempt, and whether its connection is kept."""
        edge = test_run_together_answers.RunTogetherAnswersTest()
        edge.setUp()
        connection = edge.open_connection()
        request = forwarding.CallerRequest(
            2, 'r2', 'GET', 'a.example', '/', (), b'', 600, 0
        )
        searchers.send(
            edge.context,
            forwarding.SendAttempt(
                2, request, edge.searcher, 500, is_part, None
            ),
        )
        connection.dataReceived(data)
        self.assertLessEqual(len(edge.ended), 1)
        ended = edge.ended[0] if edge.ended else None
        return ended, connection.transport.connected

    def check_attempt(self, line, is_part):
        answer = test_run_together_answers.encode('r2', 200, body=b'')
        kind = status_lines.expect(line)
        if kind == 'interim':
            ended, _ = self.receive_attempt(end_interim(line), is_part)
            self.assertIsNone(ended)
            ended, _ = self.receive_attempt(
                end_interim(line) + answer, is_part
            )
            self.assertEqual(200, ended.status)
            return
        ended, kept = self.receive_attempt(replace_line(answer, line), is_part)
        self.assertIsNotNone(ended)
        if kind == 'answer':
            status = int(line[9:12])
            self.assertEqual(status, ended.status)
            expected = Outcome.ANSWERED
            if status == 421:
                expected = Outcome.MISDIRECTED
            self.assertEqual(expected, ended.outcome)
            return
        self.assertEqual((Outcome.LOST, 0), (ended.outcome, ended.status))
        self.assertFalse(kept)

    def check_call(self, edge, call, body, line, is_success):
        """Check one line at an edge that needs status 200."""
        answer = test_run_together_calls.encode(body)
        if status_lines.expect(line) == 'interim':
            (found,) = edge.receive(call, [end_interim(line) + answer])
            self.assertTrue(is_success(found))
            return
        (found,) = edge.receive(call, [replace_line(answer, line)])
        if status_lines.expect(line) == 'broken':
            self.assertFalse(edge.kept)
        succeeds = status_lines.expect(line) == 'answer' and '200' in line
        self.assertEqual(succeeds, is_success(found))

    def check_calls(self, line):
        edge = test_run_together_calls.RunTogetherCallsTest()
        self.check_call(
            edge,
            edge.watch,
            test_run_together_calls.encode_changes(6),
            line,
            lambda found: isinstance(found, discovery.StoreChanged),
        )
        self.check_call(
            edge,
            edge.poll,
            relay.encode_updates(test_relay.UPDATES),
            line,
            lambda found: isinstance(found, relaying.PeerAnswered),
        )
        self.check_call(
            edge,
            edge.delegate,
            REPLY,
            line,
            lambda found: found.response is not None,
        )

    def test_every_status_of_an_attempt_and_a_part(self):
        """Guards against a status that callers cannot read, or a wait.

        000 was taken for an interim answer, and 600 for an answer.
        """
        for status in range(1_000):
            for is_part in (False, True):
                with self.subTest(status=status, is_part=is_part):
                    self.check_attempt(status_lines.make_line(status), is_part)

    def test_every_status_of_the_store_and_of_other_nodes(self):
        """Guards against a call that waits for its deadline."""
        for status in range(1_000):
            with self.subTest(status=status):
                self.check_calls(status_lines.make_line(status))

    def test_odd_status_lines(self):
        """Guards against a parser that is more tolerant than the rule."""
        for line in status_lines.BROKEN + status_lines.ANSWERS:
            with self.subTest(line=line):
                self.check_attempt(line, False)
                self.check_attempt(line, True)
                self.check_calls(line)

    @EXAMPLES
    @hypothesis.given(status_lines.LINES)
    def test_any_status_line(self, line):
        """Guards against lines that the tables do not list."""
        self.check_attempt(line, False)
        self.check_calls(line)

    def test_a_delegated_response_has_an_answers_status(self):
        """Guards against a node that passes on what is no answer."""
        for status in (0, 99, 102, 199, 600, 999):
            with self.subTest(status=status):
                self.assert_refused(status)

    def assert_refused(self, status):
        response = forwarding.CallerResponse(1, status, (), b'')
        body = delegation.encode_reply(
            delegated_reply.DelegatedReply('', response, 1)
        )
        edge = test_run_together_calls.RunTogetherCallsTest()
        (found,) = edge.receive(
            edge.delegate, [test_run_together_calls.encode(body)]
        )
        self.assertIsNone(found.response)


if __name__ == '__main__':
    unittest.main()
