"""Implements gypsumctl apply."""

from concurrent import futures
import pathlib
import sys
from typing import Any

from gypsumbridge_ctl import change
from gypsumbridge_ctl import client
from gypsumbridge_ctl import ctl_error
from gypsumbridge_ctl import declarations
from gypsumbridge_ctl import exit_code
from gypsumbridge_ctl import output
from gypsumbridge_ctl import plan
from gypsumbridge_ctl import reply as replies
from gypsumbridge_ctl import waiting
from gypsumbridge_ctl.commands import defaults
from gypsumbridge_decisions import resources

# Each write waits until it is accepted. A node runs up to 64 requests at
# once.
PARALLEL_WRITES = 16


def apply(
    directory: pathlib.Path,
    *,
    dry_run: bool = False,
    wait: bool = False,
    timeout_s: float = defaults.WAIT_S,
    server: list[str] = defaults.SERVERS,
    json: bool = False,
) -> int:
    """Apply the declarations in a directory of files.

    Resources that are not declared there are not changed.

    :param directory: Directory with JSON files.
    :param dry_run: Only print what would change.
    :param wait: Wait until the changes are in force on every live node.
    :param timeout_s: Longest wait, in seconds.
    :param server: Nodes as ip:port, tried in turn.
    :param json: Print JSON lines.
    """
    declared = declarations.read_directory(directory)
    call = client.make_call(server)
    current = []
    for kind in declarations.APPLY_ORDER:
        listed = call('GET', f'/v1/resources/{kind}', None, {})
        current += replies.check(listed)['items']
    changes = plan.make_plan(declared, current)
    if dry_run:
        for planned in changes:
            _show_planned(json, planned)
        return exit_code.ExitCode.DONE
    written = _write_all(call, changes, json)
    unchanged = len(declared) - len(changes)
    summary = {'changed': len(written), 'unchanged': unchanged}
    text = f'{len(written)} changed, {unchanged} unchanged'
    output.show(json, summary, text)
    if wait:
        newest = max(written or current, key=lambda item: item['revision'])
        waiting.wait_in_force(call, newest['kind'], newest['name'], timeout_s)
        output.show(json, {'in_force': True}, 'in force')
        return exit_code.ExitCode.DONE
    if any(item['state'] != 'accepted' for item in written):
        return exit_code.ExitCode.NOT_IN_FORCE
    return exit_code.ExitCode.DONE


def _write_all(
    call: client.Call, changes: list[change.Change], json: bool
) -> list[dict[str, Any]]:
    """Write the changes of each kind in turn; stop after a kind that failed.

    Ranks are written one at a time because their order matters.
    """
    written = []
    for kind in declarations.APPLY_ORDER:
        batch = [planned for planned in changes if planned.kind == kind]
        workers = 1 if kind == resources.Kind.RANK else PARALLEL_WRITES
        failures = []
        with futures.ThreadPoolExecutor(workers) as pool:
            running = [pool.submit(_write, call, p) for p in batch]
            for future in running:
                try:
                    item = future.result()
                except ctl_error.CtlError as error:
                    failures.append(error)
                    # Writes that have not started are cancelled.
                    for other in running:
                        other.cancel()
                    continue
                except futures.CancelledError:
                    continue
                written.append(item)
                text = f'{item["state"]}: {output.describe(item)}'
                output.show(json, item, text)
        for failure in failures[1:]:
            print(f'gypsumctl: {failure}', file=sys.stderr)
        if failures:
            raise failures[0]
    return written


def _write(call: client.Call, planned: change.Change) -> dict[str, Any]:
    path = f'/v1/resources/{planned.kind}/{planned.name}'
    headers = {'If-Match': str(planned.revision)}
    return replies.check(call('PUT', path, {'spec': planned.after}, headers))


def _show_planned(json: bool, planned: change.Change) -> None:
    fields = planned.fields()
    body = {
        'kind': planned.kind,
        'name': planned.name,
        'create': planned.before is None,
        'fields': {k: {'from': a, 'to': b} for k, (a, b) in fields.items()},
    }
    verb = 'create' if planned.before is None else 'change'
    lines = [f'{verb} {planned.kind} {planned.name}']
    for field, (before, after) in fields.items():
        arrow = '' if planned.before is None else f'{before} -> '
        lines.append(f'  {field}: {arrow}{after}')
    output.show(json, body, '\n'.join(lines))
