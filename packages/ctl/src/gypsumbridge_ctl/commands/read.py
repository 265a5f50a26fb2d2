"""Implements gypsumctl get, list, watch, wait and status."""

import json as json_codec

from gypsumbridge_ctl import client
from gypsumbridge_ctl import ctl_error
from gypsumbridge_ctl import exit_code
from gypsumbridge_ctl import output
from gypsumbridge_ctl import reply as replies
from gypsumbridge_ctl import waiting
from gypsumbridge_ctl.commands import defaults


def get(
    kind: str,
    name: str,
    *,
    server: list[str] = defaults.SERVERS,
    json: bool = False,
) -> int:
    """Show one resource.

    :param kind: ranks, endpoints, services or limits.
    :param name: Name of the resource.
    :param server: Nodes as ip:port, tried in turn.
    :param json: Print JSON lines.
    """
    call = client.make_call(server)
    path = f'/v1/resources/{kind}/{name}'
    item = replies.check(call('GET', path, None, {}))
    spec = json_codec.dumps(item['spec'], indent=2)
    output.show(json, item, f'{output.describe(item)}\n{spec}')
    return exit_code.ExitCode.DONE


def list_resources(
    kind: str, *, server: list[str] = defaults.SERVERS, json: bool = False
) -> int:
    """List the resources of a kind.

    :param kind: ranks, endpoints, services or limits.
    :param server: Nodes as ip:port, tried in turn.
    :param json: Print JSON lines.
    """
    call = client.make_call(server)
    listed = call('GET', f'/v1/resources/{kind}', None, {})
    for item in replies.check(listed)['items']:
        output.show(json, item, output.describe(item))
    return exit_code.ExitCode.DONE


def watch(
    *,
    after: int = 0,
    polls: int = 0,
    server: list[str] = defaults.SERVERS,
    json: bool = False,
) -> int:
    """Print changes of resources as they are stored, until Ctrl-C.

    :param after: Start after this revision.
    :param polls: Stop after this many long polls of 10 s; 0 means no limit.
    :param server: Nodes as ip:port, tried in turn.
    :param json: Print JSON lines.
    """
    call = client.make_call(server)
    poll_count = 0
    try:
        while not polls or poll_count < polls:
            path = f'/v1/resources?watch_from={after}'
            body = replies.check(call('GET', path, None, {}))
            for item in body['items']:
                output.show(json, item, output.describe(item))
            after = body['revision']
            poll_count += 1
    except KeyboardInterrupt:
        # The operator ends a watch with Ctrl-C.
        pass
    return exit_code.ExitCode.DONE


def wait(
    kind: str,
    name: str,
    *,
    timeout_s: float = defaults.WAIT_S,
    server: list[str] = defaults.SERVERS,
    json: bool = False,
) -> int:
    """Wait until a resource is in force on every live node.

    :param kind: ranks, endpoints, services or limits.
    :param name: Name of the resource.
    :param timeout_s: Longest wait, in seconds.
    :param server: Nodes as ip:port, tried in turn.
    :param json: Print JSON lines.
    """
    call = client.make_call(server)
    item = waiting.wait_in_force(call, kind, name, timeout_s)
    output.show(json, item, output.describe(item))
    return exit_code.ExitCode.DONE


def status(*, server: list[str] = defaults.SERVERS, json: bool = False) -> int:
    """Show the status of each given node.

    :param server: Nodes as ip:port; each is queried.
    :param json: Print JSON lines.
    """
    worst = exit_code.ExitCode.DONE
    for address in server:
        call = client.make_call([address])
        try:
            body = replies.check(call('GET', '/v1/nodes', None, {}))
        except ctl_error.CtlError as error:
            worst = max(worst, error.code)
            output.show(
                json,
                {'server': address, 'error': str(error)},
                f'{address}: {error}',
            )
            continue
        ready = 'ready' if body['ready'] else f'not ready ({body["reason"]})'
        counts = ', '.join(
            f'{task}.{name} {count}'
            for task, task_counts in body['tasks'].items()
            for name, count in (task_counts or {}).items()
        )
        output.show(
            json,
            {'server': address, **body},
            f'{body["node_id"]} in {body["failure_domain"]}: {ready}, revision'
            f' {body["revision"]}, {len(body["members"])} members; {counts}',
        )
    return worst
