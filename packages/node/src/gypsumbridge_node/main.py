"""Command line of the node daemon."""

import pathlib
import sys

import defopt

from gypsumbridge_decisions import errors
from gypsumbridge_node import daemon
from gypsumbridge_node.settings import load

EXIT_SETTINGS = 2


def main(config: pathlib.Path, *, check_settings: bool = False) -> int:
    """Run a gypsumbridge node.

    :param config: INI file with the node's settings.
    :param check_settings: Only check the settings, then exit.
    """
    try:
        settings = load.load_settings(config)
    except errors.SettingsError as error:
        print(error.message, file=sys.stderr)
        return EXIT_SETTINGS
    if check_settings:
        print(f'{config}: settings are valid')
        return 0
    return daemon.run_daemon(settings)


def run() -> None:
    """Entry point of the `gypsumbridged` command."""
    sys.exit(defopt.run(main))
