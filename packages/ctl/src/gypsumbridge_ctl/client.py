"""HTTP requests to nodes."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import http.client
import ipaddress
import json
from typing import Any

from gypsumbridge_ctl import ctl_error
from gypsumbridge_ctl import exit_code
from gypsumbridge_ctl import reply as replies

CONNECT_TIMEOUT_S = 5.0
# Longer than any wait that a node accepts.
REPLY_TIMEOUT_S = 60.0
NOT_RUN = 'not_run'

# Takes method, path, body and headers.
Call = Callable[[str, str, Any, Mapping[str, str]], replies.Reply]


def make_call(servers: Sequence[str]) -> Call:
    """Return a function that sends a request to the first usable server.

    The next server is tried where the request was surely not run: no
    connection, or a 503 that says so. A write that may have been run is
    not sent again. Raises CtlError.
    """
    addresses = [split_server(server) for server in servers]

    def call(
        method: str, path: str, body: Any, headers: Mapping[str, str]
    ) -> replies.Reply:
        problems = []
        refused = None
        for host, port in addresses:
            server = f'{host}:{port}'
            connection = http.client.HTTPConnection(
                host, port, timeout=CONNECT_TIMEOUT_S
            )
            try:
                connection.connect()
            except OSError as error:
                problems.append(f'{server}: {error}')
                continue
            try:
                answered = _exchange(connection, method, path, body, headers)
            except (OSError, http.client.HTTPException, ValueError) as error:
                if method == 'GET':
                    problems.append(f'{server}: {error!r}')
                    continue
                raise _unknown(server, method, path, error) from error
            finally:
                connection.close()
            found = replies.Reply(*answered, server)
            if not _surely_not_run(found):
                return found
            refused = found
        if refused is not None:
            return refused
        raise ctl_error.CtlError(
            exit_code.ExitCode.UNAVAILABLE,
            f'no server answered: {"; ".join(problems)}',
            'nothing was changed; check the addresses given with --server',
        )

    return call


def split_server(server: str) -> tuple[str, int]:
    """Return IP number and port; CtlError unless it is `ip:port`."""
    host, _, port = server.rpartition(':')
    try:
        ipaddress.ip_address(host)
        return host, int(port)
    except ValueError as error:
        raise ctl_error.CtlError(
            exit_code.ExitCode.USAGE,
            f'--server is {server!r}',
            'use ip:port with an IP number',
        ) from error


def _exchange(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    body: Any,
    headers: Mapping[str, str],
) -> tuple[int, Any]:
    connection.sock.settimeout(REPLY_TIMEOUT_S)
    content = None if body is None else json.dumps(body)
    connection.request(method, path, content, dict(headers))
    response = connection.getresponse()
    return response.status, json.loads(response.read())


def _surely_not_run(reply: replies.Reply) -> bool:
    if reply.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    body = reply.body
    return isinstance(body, dict) and body.get('run_state') == NOT_RUN


def _unknown(
    server: str, method: str, path: str, error: Exception
) -> ctl_error.CtlError:
    return ctl_error.CtlError(
        exit_code.ExitCode.UNAVAILABLE,
        f'{server}: the reply to {method} {path} was lost ({error!r}), so its'
        ' outcome is unknown',
        'run the same command again; what is already done stays as it is',
    )
