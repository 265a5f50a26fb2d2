"""Reads resource declarations from files."""

import json
import pathlib

from gypsumbridge_ctl import ctl_error
from gypsumbridge_ctl import exit_code
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import resources
from gypsumbridge_wire import operator

# Limits refer to ranks and services, and services refer to the replica sets
# of endpoints.
APPLY_ORDER = (
    resources.Kind.RANK,
    resources.Kind.ENDPOINT,
    resources.Kind.SERVICE,
    resources.Kind.LIMIT,
)

Key = tuple[resources.Kind, str]


def read_directory(directory: pathlib.Path) -> dict[Key, resources.Spec]:
    """Return the specs in all `*.json` files of a directory.

    A file contains one declaration or a list of them. Raises CtlError with
    the path of the file for an invalid or duplicate declaration.
    """
    paths = sorted(directory.glob('*.json'))
    if not paths:
        raise _usage_error(
            f'{directory} has no *.json file',
            'give a directory with declarations',
        )
    specs: dict[Key, resources.Spec] = {}
    for path in paths:
        for item in _read_file(path):
            try:
                spec = operator.decode_declaration(json.dumps(item).encode())
            except errors.GypsumbridgeError as error:
                raise _usage_error(
                    f'{path}: {error.message}', error.remedy
                ) from error
            key = (resources.kind_of(spec), spec.name)
            if key in specs:
                raise _usage_error(
                    f'{path}: {key[0]} {key[1]} is declared twice',
                    'remove one of the declarations',
                )
            specs[key] = spec
    return specs


def _read_file(path: pathlib.Path) -> list[object]:
    try:
        content = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError, RecursionError) as error:
        raise _usage_error(
            f'{path} cannot be read as JSON: {error}',
            'write one declaration or a list of them',
        ) from error
    return content if isinstance(content, list) else [content]


def _usage_error(message: str, remedy: str) -> ctl_error.CtlError:
    return ctl_error.CtlError(exit_code.ExitCode.USAGE, message, remedy)
