"""Implements gypsumctl delete and drain."""

from gypsumbridge_ctl import client
from gypsumbridge_ctl import exit_code
from gypsumbridge_ctl import output
from gypsumbridge_ctl import reply as replies
from gypsumbridge_ctl.commands import defaults
from gypsumbridge_decisions import resources

# A conflict with another operator's change of the endpoint is retried, since
# a drain sets a single field of the current spec.
DRAIN_ATTEMPTS = 3


def delete(
    kind: str,
    name: str,
    *,
    revision: int = 0,
    server: list[str] = defaults.SERVERS,
    json: bool = False,
) -> int:
    """Delete a resource.

    :param kind: ranks, endpoints, services or limits.
    :param name: Name of the resource.
    :param revision: Delete only this revision; 0 means the current one.
    :param server: Nodes as ip:port, tried in turn.
    :param json: Print JSON lines.
    """
    call = client.make_call(server)
    path = f'/v1/resources/{kind}/{name}'
    if not revision:
        revision = replies.check(call('GET', path, None, {}))['revision']
    headers = {'If-Match': str(revision)}
    return _show_result(
        json, replies.check(call('DELETE', path, None, headers))
    )


def drain(
    endpoint: str,
    *,
    undo: bool = False,
    server: list[str] = defaults.SERVERS,
    json: bool = False,
) -> int:
    """Declare that an endpoint is leaving, so that it gets no new work.

    :param endpoint: Name of the endpoint.
    :param undo: Declare that the endpoint is not leaving.
    :param server: Nodes as ip:port, tried in turn.
    :param json: Print JSON lines.
    """
    call = client.make_call(server)
    path = f'/v1/resources/{resources.Kind.ENDPOINT}/{endpoint}'
    for _ in range(DRAIN_ATTEMPTS):
        item = replies.check(call('GET', path, None, {}))
        spec = {**item['spec'], 'leaving': not undo}
        headers = {'If-Match': str(item['revision'])}
        reply = call('PUT', path, {'spec': spec}, headers)
        if reply.status != replies.HTTP_CONFLICT:
            break
    return _show_result(json, replies.check(reply))


def _show_result(json: bool, item: dict) -> int:
    output.show(json, item, f'{item["state"]}: {output.describe(item)}')
    if item['state'] == 'accepted':
        return exit_code.ExitCode.DONE
    return exit_code.ExitCode.NOT_IN_FORCE
