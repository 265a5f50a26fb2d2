"""Entry point of the command-line interface for operators."""

import sys

import defopt

from gypsumbridge_ctl import ctl_error
from gypsumbridge_ctl import exit_code
from gypsumbridge_ctl.commands import apply
from gypsumbridge_ctl.commands import explain
from gypsumbridge_ctl.commands import mutations
from gypsumbridge_ctl.commands import read
from gypsumbridge_ctl.commands import write

COMMANDS = {
    'apply': apply.apply,
    'get': read.get,
    'list': read.list_resources,
    'watch': read.watch,
    'wait': read.wait,
    'status': read.status,
    'delete': write.delete,
    'drain': write.drain,
    'claim': mutations.claim,
    'explain': explain.explain,
    'resolve': mutations.resolve,
}


def run() -> None:
    """Entry point of the `gypsumctl` command."""
    try:
        status = defopt.run(COMMANDS)
    except ctl_error.CtlError as error:
        print(f'gypsumctl: {error}', file=sys.stderr)
        status = error.code
    except KeyboardInterrupt:
        print('gypsumctl: interrupted', file=sys.stderr)
        status = exit_code.ExitCode.FAILED
    sys.exit(int(status))
