"""A node's reply."""

import dataclasses
from typing import Any

from gypsumbridge_ctl import ctl_error
from gypsumbridge_ctl import exit_code

HTTP_OK = 200
HTTP_CREATED = 201
HTTP_STORED = 202
HTTP_CONFLICT = 409

_EXIT_CODES = {
    400: exit_code.ExitCode.USAGE,
    405: exit_code.ExitCode.USAGE,
    413: exit_code.ExitCode.USAGE,
    HTTP_CONFLICT: exit_code.ExitCode.CONFLICT,
    503: exit_code.ExitCode.UNAVAILABLE,
    504: exit_code.ExitCode.UNAVAILABLE,
}


@dataclasses.dataclass(frozen=True)
class Reply:
    """HTTP status, decoded JSON body and address of the server."""

    status: int
    body: Any
    server: str


def check(reply: Reply) -> Any:
    """Return the body of a successful reply.

    This includes a write that is stored but not yet accepted. Raises
    CtlError for any other status.
    """
    if reply.status in (HTTP_OK, HTTP_CREATED, HTTP_STORED):
        return reply.body
    body = reply.body if isinstance(reply.body, dict) else {}
    message = body.get('message', f'HTTP status {reply.status}')
    if body.get('run_state'):
        message = f'{message} ({body["run_state"]})'
    raise ctl_error.CtlError(
        _EXIT_CODES.get(reply.status, exit_code.ExitCode.FAILED),
        f'{reply.server}: {message}',
        body.get('remedy', 'see the log of that node'),
    )
