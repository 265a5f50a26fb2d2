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
        """Start a server with one reply; status None closes the connection.

        Return its address and the list of request paths.
        """
        paths = []

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_PUT(self):
                paths.append(self.path)
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
        return f'127.0.0.1:{server.server_port}', paths

    def put(self, *servers):
        return client.make_call(servers)('PUT', '/x', {}, {})

    def test_a_request_that_was_not_run_goes_to_the_next_server(self):
        """Guards against a command that fails with its first server."""
        with socket.socket() as closed:
            closed.bind(('127.0.0.1', 0))
            unused = f'127.0.0.1:{closed.getsockname()[1]}'
            busy, _ = self.serve(503, {'run_state': 'not_run'})
            available, _ = self.serve(200, {'ok': True})
            reply = self.put(unused, busy, available)
            self.assertEqual((200, available), (reply.status, reply.server))
            with self.assertRaises(ctl_error.CtlError) as caught:
                self.put(unused)
        self.assertEqual(exit_code.ExitCode.UNAVAILABLE, caught.exception.code)

    def test_a_write_with_unknown_outcome_is_not_resent(self):
        """Guards against a write that runs on two servers."""
        other, paths = self.serve(200, {})
        unresponsive, _ = self.serve(None, None)
        with self.assertRaises(ctl_error.CtlError) as caught:
            self.put(unresponsive, other)
        self.assertEqual(exit_code.ExitCode.UNAVAILABLE, caught.exception.code)
        outcome_unknown, _ = self.serve(503, {'run_state': 'outcome_unknown'})
        self.assertEqual(503, self.put(outcome_unknown, other).status)
        self.assertEqual([], paths)

    def test_host_names_are_a_usage_error(self):
        """Guards against resolving a host name that may have no address."""
        for server in ('localhost:1', '127.0.0.1', '127.0.0.1:x'):
            with self.assertRaises(ctl_error.CtlError) as caught:
                client.make_call([server])
            self.assertEqual(exit_code.ExitCode.USAGE, caught.exception.code)
