"""Finds what the logs say of one request."""

import json as json_codec
import pathlib
from typing import Any

from gypsumbridge_ctl import ctl_error
from gypsumbridge_ctl import exit_code
from gypsumbridge_ctl import output

# Fields under which log lines name a request.
ID_FIELDS = ('request_id', 'query', 'mutation')
# Fields that every line has, and that the text gives first or leaves out.
COMMON_FIELDS = ('time', 'level', 'logger', 'message', 'reason')


def explain(
    request_id: str, files: list[pathlib.Path], *, json: bool = False
) -> int:
    """Show every decision that touched a request, in order of time.

    Lines that are no JSON are passed over, so that files with the output of
    other programs may be given.

    :param request_id: The request's own id, or the node's id of a query.
    :param files: Logs of one or more nodes.
    :param json: Print the lines as they stand in the logs.
    """
    found = []
    for path in files:
        try:
            text = path.read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            raise ctl_error.CtlError(
                exit_code.ExitCode.USAGE,
                f'{path} cannot be read: {error}',
                'name a log file',
            ) from error
        for line in text.splitlines():
            record = parse(line)
            if any(record.get(name) == request_id for name in ID_FIELDS):
                found.append(record)
    found.sort(key=lambda record: str(record.get('time')))
    for record in found:
        output.show(json, record, describe(record))
    if not found:
        output.show(json, {}, f'no line names {request_id}')
        return exit_code.ExitCode.FAILED
    return exit_code.ExitCode.DONE


def parse(line: str) -> dict[str, Any]:
    """Return the record that begins at the line's first brace, or none."""
    begin = line.find('{')
    if begin < 0:
        return {}
    try:
        record = json_codec.loads(line[begin:])
    except json_codec.JSONDecodeError:
        return {}
    return record if isinstance(record, dict) else {}


def describe(record: dict[str, Any]) -> str:
    """Return a record as one line of text."""
    fields = ' '.join(
        f'{key}={value}'
        for key, value in record.items()
        if key not in COMMON_FIELDS and key not in ID_FIELDS
    )
    return (
        f'{record.get("time")} {record.get("logger")}'
        f' {record.get("message")} ({record.get("reason", "")}) {fields}'
    )
