import http.server
import json
import socket
import threading
import unittest

from gypsumbridge_ctl import client
from gypsumbridge_ctl import ctl_error
from gypsumbridge_ctl import exit_code


class ClientTest(unittest.TestCase):
    def serve(self, status, body):
        """Start a server with one answer; None hangs up instead."""
        seen = []

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_PUT(self):
                seen.append(self.path)
                if status is None:
                    return
                self.send_response(status)
                self.end_headers()
                self.wfile.write(json.dumps(body).encode())

            def log_message(self, *_):
                pass

        server = http.server.HTTPServer(('127.0.0.1', 0), Handler)
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        self.addCleanup(server.server_close)
        self.addCleanup(thread.join)
        self.addCleanup(server.shutdown)
        return f'127.0.0.1:{server.server_port}', seen

    def put(self, *servers):
        return client.make_call(servers)('PUT', '/x', {}, {})

    def test_the_next_server_takes_what_was_not_run(self):
        """Guards against a command that fails with its first server."""
        with socket.socket() as closed:
            closed.bind(('127.0.0.1', 0))
            unused = f'127.0.0.1:{closed.getsockname()[1]}'
            busy, _ = self.serve(503, {'run_state': 'not_run'})
            good, _ = self.serve(200, {'ok': True})
            reply = self.put(unused, busy, good)
            self.assertEqual((200, good), (reply.status, reply.server))
            with self.assertRaises(ctl_error.CtlError) as caught:
                self.put(unused)
        self.assertEqual(exit_code.ExitCode.UNAVAILABLE, caught.exception.code)

    def test_an_unknown_outcome_is_not_sent_again(self):
        """Guards against a write that runs on two servers."""
        other, seen = self.serve(200, {})
        silent, _ = self.serve(None, None)
        with self.assertRaises(ctl_error.CtlError) as caught:
            self.put(silent, other)
        self.assertEqual(exit_code.ExitCode.UNAVAILABLE, caught.exception.code)
        unknown, _ = self.serve(503, {'run_state': 'outcome_unknown'})
        self.assertEqual(503, self.put(unknown, other).status)
        self.assertEqual([], seen)

    def test_host_names_are_a_usage_error(self):
        """Guards against a look-up of a name that may not resolve."""
        for server in ('localhost:1', '127.0.0.1', '127.0.0.1:x'):
            with self.assertRaises(ctl_error.CtlError) as caught:
                client.make_call([server])
            self.assertEqual(exit_code.ExitCode.USAGE, caught.exception.code)
