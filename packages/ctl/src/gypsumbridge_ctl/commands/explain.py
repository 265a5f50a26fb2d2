"""Implements gypsumctl explain."""

import json as json_codec
import pathlib
from typing import Any

from gypsumbridge_ctl import ctl_error
from gypsumbridge_ctl import exit_code
from gypsumbridge_ctl import output
from gypsumbridge_ctl.commands import hints

# Log fields that hold the id of a request.
ID_FIELDS = ('request_id', 'query', 'mutation')
# Fields of every line, which the text shows first or omits.
COMMON_FIELDS = ('time', 'level', 'logger', 'message', 'reason')


def explain(
    request_id: str, files: list[pathlib.Path], *, json: bool = False
) -> int:
    """Show the logged decisions on a request in order of time.

    Lines that are not JSON are skipped, so the files may also contain the
    output of other programs.

    :param request_id: Request id, or the query id assigned by a node.
    :param files: Logs of one or more nodes.
    :param json: Print the lines as logged.
    """
    found = []
    for path in files:
        try:
            text = path.read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            raise ctl_error.CtlError(
                exit_code.ExitCode.USAGE,
                f'{path} cannot be read: {error}',
                'give the path of a log file',
            ) from error
        for line in text.splitlines():
            record = parse(line)
            if any(record.get(name) == request_id for name in ID_FIELDS):
                found.append(record)
    found.sort(key=lambda record: str(record.get('time')))
    for record in found:
        output.show(json, record, describe(record))
    if not found:
        output.show(json, {}, f'no log line refers to {request_id}')
        return exit_code.ExitCode.FAILED
    return exit_code.ExitCode.DONE


def parse(line: str) -> dict[str, Any]:
    """Return the JSON object that starts at the line's first brace.

    The result is empty if there is none.
    """
    start = line.find('{')
    if start < 0:
        return {}
    try:
        record = json_codec.loads(line[start:])
    except json_codec.JSONDecodeError:
        return {}
    return record if isinstance(record, dict) else {}


def describe(record: dict[str, Any]) -> str:
    """Return a log record as a line of text."""
    fields = ' '.join(
        f'{key}={value}'
        for key, value in record.items()
        if key not in COMMON_FIELDS and key not in ID_FIELDS
    )
    line = (
        f'{record.get("time")} {record.get("logger")}'
        f' {record.get("message")} ({record.get("reason", "")}) {fields}'
    )
    hint = hints.hint_for(record)
    return f'{line} [{hint}]' if hint else line
