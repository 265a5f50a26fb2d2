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
# Longer than the longest wait that a client can request from a node.
REPLY_TIMEOUT_S = 60.0
NOT_RUN = 'not_run'

# Takes method, path, body and headers.
Call = Callable[[str, str, Any, Mapping[str, str]], replies.Reply]


def make_call(servers: Sequence[str]) -> Call:
    """Return a function that sends a request to the first usable server.

    The next server is tried only if the request has certainly not been run,
    that is, if the connection failed or a 503 reply has the run state
    not_run. Reads are also repeated after a lost reply. A write that may
    have been run is not sent again. The function raises CtlError.
    """
    addresses = [split_server(server) for server in servers]

    def call(
        method: str, path: str, body: Any, headers: Mapping[str, str]
    ) -> replies.Reply:
        problems = []
        unavailable_reply = None
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
                status_and_body = _exchange(
                    connection, method, path, body, headers
                )
            except (OSError, http.client.HTTPException, ValueError) as error:
                if method == 'GET':
                    problems.append(f'{server}: {error!r}')
                    continue
                raise _outcome_unknown(server, method, path, error) from error
            finally:
                connection.close()
            reply = replies.Reply(*status_and_body, server)
            if not _is_not_run(reply):
                return reply
            unavailable_reply = reply
        if unavailable_reply is not None:
            return unavailable_reply
        raise ctl_error.CtlError(
            exit_code.ExitCode.UNAVAILABLE,
            f'no server replied: {"; ".join(problems)}',
            'nothing was changed; check the addresses given with --server',
        )

    return call


def split_server(server: str) -> tuple[str, int]:
    """Return the IP address and port of `ip:port`.

    Raises CtlError for any other format.
    """
    host, _, port = server.rpartition(':')
    try:
        ipaddress.ip_address(host)
        return host, int(port)
    except ValueError as error:
        raise ctl_error.CtlError(
            exit_code.ExitCode.USAGE,
            f'--server is {server!r}',
            'use ip:port with an IP address',
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


def _is_not_run(reply: replies.Reply) -> bool:
    if reply.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    body = reply.body
    return isinstance(body, dict) and body.get('run_state') == NOT_RUN


def _outcome_unknown(
    server: str, method: str, path: str, error: Exception
) -> ctl_error.CtlError:
    return ctl_error.CtlError(
        exit_code.ExitCode.UNAVAILABLE,
        f'{server}: the reply to {method} {path} was lost ({error!r}), so its'
        ' outcome is unknown',
        'run the same command again; a change that was already made is not'
        ' repeated',
    )
