import types
import unittest

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import memory_budget
from gypsumbridge_node.gateway import searchers_context
from gypsumbridge_node.gateway import searchers_state
from gypsumbridge_node.gateway.tasks import searchers
from gypsumbridge_platform import header_names
from tests.decisions.forwarding import gateway_case
from tests.node.gateway import bare_runtime
from tests.node.gateway import socket_transport

Outcome = forwarding.AttemptOutcome
BODY = b'0123456789abcdef'
OLD_BODY = b'ffffffffffffffff'
NOT_RUN = ('Gypsumbridge-Not-Executed', '1')


def encode(request_id, status, extra=(), body=BODY, chunked=False):
    """Return a searcher's answer, with the signature before the id."""
    lines = [f'HTTP/1.1 {status} Status']
    headers = [
        *extra,
        ('Gypsumbridge-Server-Stamp', f'3e1b.07.{request_id}'),
        ('Keep-Alive', 'timeout=5'),
        ('Gypsumbridge-Request-Id', request_id),
    ]
    lines += [f'{name}: {value}' for name, value in headers]
    if chunked:
        lines.append('Transfer-Encoding: chunked')
        body = b'%x\r\n' % len(body) + body + b'\r\n0\r\n\r\n'
    else:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


LATE_COPIES = {
    'success': encode('r1', 200, body=OLD_BODY),
    'chunked success': encode('r1', 200, body=OLD_BODY, chunked=True),
    'refusal': encode('r1', 503, (NOT_RUN,), b''),
    'refusal with its statement last': encode('r1', 503, (), b'').replace(
        b'\r\n\r\n', b'\r\nGypsumbridge-Not-Executed: 1\r\n\r\n'
    ),
    'failure': encode('r1', 500, body=b'failed'),
}
ANSWERS = {
    'success': (encode('r2', 200), Outcome.ANSWERED, 200, BODY),
    'chunked': (encode('r2', 200, chunked=True), Outcome.ANSWERED, 200, BODY),
    'failure': (encode('r2', 500, (), b''), Outcome.ANSWERED, 500, b''),
    'refusal': (encode('r2', 503, (NOT_RUN,), b''), Outcome.NOT_RUN, 503, b''),
}


class RunTogetherAnswersTest(unittest.TestCase):
    def setUp(self):
        state = searchers_state.SearchersState(
            'n1', memory_budget.make_memory_budget()
        )
        state.table = gateway_case.make_table()
        self.counts = []
        runtime = bare_runtime.make_runtime()
        runtime.metrics.count = self.counts.append
        self.ended = []
        runtime.mailboxes = types.SimpleNamespace(
            forwarding=types.SimpleNamespace(put=self.ended.append)
        )
        self.context = searchers_context.SearchersContext(
            runtime, state, header_names.HEADERS
        )
        self.searcher = gateway_case.make_searcher('s1-d1', 's1')
        self.reactor = runtime.reactor

    def send(self, request_id):
        """Send an attempt of a request that must not be repeated."""
        number = int(request_id[1:])
        request = forwarding.CallerRequest(
            number, request_id, 'POST', 'a.example', '/', (), b'x', 600, 0
        )
        searchers.send(
            self.context,
            forwarding.SendAttempt(
                number, request, self.searcher, 500, False, None
            ),
        )

    def open_connection(self):
        """Send the first request over a new connection and answer it."""
        self.send('r1')
        factory = self.reactor.tcpClients[-1][2]
        connection = factory.buildProtocol(None)
        transport = socket_transport.SocketTransport()
        transport.protocol = connection
        connection.makeConnection(transport)
        self.reactor.advance(0)
        connection.dataReceived(encode('r1', 200))
        (first,) = self.ended
        self.assertEqual(Outcome.ANSWERED, first.outcome)
        self.ended.clear()
        return connection

    def receive(self, data):
        """Return the end of the second attempt, or None."""
        connection = self.open_connection()
        self.send('r2')
        connection.dataReceived(data)
        self.assertLessEqual(len(self.ended), 1)
        return self.ended[0] if self.ended else None

    def check(self, ended, expected):
        """Check for the right answer, or one that may have run."""
        data, outcome, status, body = expected
        if ended is None or ended.outcome == Outcome.LOST:
            return
        self.assertEqual(outcome, ended.outcome)
        self.assertEqual(status, ended.status)
        self.assertEqual(body, ended.body)
        self.assertEqual('3e1b.07.r2', ended.signature)

    def test_a_broken_off_copy_does_not_change_the_next_answer(self):
        """Guards against two answers that are taken as one (review/3).

        The rest of a late copy and the status line of the next answer were
        read as one header. A signature of another request was passed on, and
        a statement of the copy that it was not run let an unsafe request be
        sent again.
        """
        for copy_name, copy in LATE_COPIES.items():
            for name, expected in ANSWERS.items():
                for cut in range(len(copy) + 1):
                    with self.subTest(copy=copy_name, answer=name, cut=cut):
                        self.setUp()
                        ended = self.receive(copy[:cut] + expected[0])
                        self.check(ended, expected)

    def test_a_whole_copy_is_skipped(self):
        """Guards against giving up answers behind a complete late copy."""
        for name, copy in LATE_COPIES.items():
            with self.subTest(copy=name):
                self.setUp()
                ended = self.receive(copy + ANSWERS['success'][0])
                self.assertEqual(Outcome.ANSWERED, ended.outcome)
                self.assertEqual(BODY, ended.body)

    def test_a_merged_refusal_is_not_taken_for_a_promise(self):
        """Guards against a second run of a request that has run."""
        copy = LATE_COPIES['refusal']
        cut = copy.index(b'Executed: 1') + len(b'Executed: 1')
        ended = self.receive(copy[:cut] + ANSWERS['success'][0])
        self.assertEqual(Outcome.LOST, ended.outcome)
        self.assertEqual('merged_head', ended.detail)
        self.assertIn('searchers.unusable_responses.merged_head', self.counts)

    def test_heads_that_no_searcher_sends_are_not_used(self):
        """Guards against answers whose head states two things at once."""
        stamp = ('Gypsumbridge-Server-Stamp', 'x')
        cases = (
            ('repeated_header', (stamp,)),
            ('repeated_header', (('gypsumbridge-request-id', 'r1'),)),
            ('repeated_header', (('gypsumbridge-request-id', 'r2'),)),
            ('repeated_header', (NOT_RUN, NOT_RUN)),
            ('repeated_header', (('Server-Leaving', '1'),) * 2),
            ('other_searcher', (('Gypsumbridge-Instance-Id', 's1-d2'),)),
            ('merged_head', (('X', 'aHTTP/1.1 200 OK'),)),
        )
        for detail, extra in cases:
            with self.subTest(detail=detail, extra=extra):
                self.setUp()
                ended = self.receive(encode('r2', 200, extra))
                self.assertEqual(
                    (Outcome.LOST, detail), (ended.outcome, ended.detail)
                )
                self.assertEqual(
                    [], self.context.state.pools.popitem()[1].idle.connections
                )

    def test_signatures_have_their_own_form(self):
        """Guards against a signature that the caller reads as several."""
        for value in ('a b', 'a,b', '', 'a\tb', 'a\x80b'):
            with self.subTest(value=value):
                self.setUp()
                data = encode('r2', 200).replace(
                    b'3e1b.07.r2', value.encode('latin-1')
                )
                ended = self.receive(data)
                self.assertEqual('malformed_signature', ended.detail)

    def test_a_sound_head_is_used(self):
        """Guards against refusing what searchers send."""
        extra = (
            ('Gypsumbridge-Instance-Id', 's1-d1'),
            ('Via', 'HTTP/1.1 proxy'),
            ('Set-Cookie', 'a=1'),
            ('Set-Cookie', 'b=2'),
        )
        ended = self.receive(encode('r2', 200, extra))
        self.assertEqual(Outcome.ANSWERED, ended.outcome)
