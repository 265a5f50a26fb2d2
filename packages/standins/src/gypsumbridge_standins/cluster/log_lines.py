"""Reads files to which running processes append lines."""

import json
import pathlib
from typing import Any


def read_complete_lines(path: pathlib.Path) -> list[str]:
    """Return the lines of a file without one that is still being written."""
    complete, _, _ = path.read_text('utf-8', 'replace').rpartition('\n')
    return complete.split('\n') if complete else []


def read_records(path: pathlib.Path) -> list[dict[str, Any]]:
    """Return the JSON objects among the complete lines of a log."""
    return [
        json.loads(line)
        for line in read_complete_lines(path)
        if line[:1] == '{'
    ]
