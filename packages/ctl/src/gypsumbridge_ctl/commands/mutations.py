"""Implements gypsumctl claim and resolve."""

import json as json_codec
import typing
import urllib.parse

from gypsumbridge_ctl import client
from gypsumbridge_ctl import exit_code
from gypsumbridge_ctl import output
from gypsumbridge_ctl import reply as replies
from gypsumbridge_ctl.commands import defaults

Outcome = typing.Literal['ran', 'not_run']


def claim(
    key: str, *, server: list[str] = defaults.SERVERS, json: bool = False
) -> int:
    """Show the claim of a mutation.

    :param key: Idempotency key of the mutation.
    :param server: Nodes as ip:port, tried in turn.
    :param json: Print JSON lines.
    """
    call = client.make_call(server)
    body = replies.check(call('GET', _path(key), None, {}))
    output.show(json, body, json_codec.dumps(body, indent=2))
    return exit_code.ExitCode.DONE


def resolve(
    key: str,
    outcome: Outcome,
    *,
    operator: str,
    server: list[str] = defaults.SERVERS,
    json: bool = False,
) -> int:
    """Record the outcome of a mutation whose outcome is unknown.

    :param key: Idempotency key of the mutation.
    :param outcome: Outcome found at the endpoint.
    :param operator: Name of the operator, stored with the claim.
    :param server: Nodes as ip:port, tried in turn.
    :param json: Print JSON lines.
    """
    call = client.make_call(server)
    payload = {'outcome': outcome, 'operator': operator}
    body = replies.check(call('POST', f'{_path(key)}/resolve', payload, {}))
    output.show(json, body, json_codec.dumps(body, indent=2))
    return exit_code.ExitCode.DONE


def _path(key: str) -> str:
    return f'/v1/mutations/{urllib.parse.quote(key, safe="")}'
