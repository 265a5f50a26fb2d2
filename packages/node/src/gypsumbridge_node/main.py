"""Command line of the node daemon."""

import pathlib
import sys

import defopt
from twisted.internet import error as net_errors
import zmq

from gypsumbridge_decisions import errors
from gypsumbridge_node import daemon
from gypsumbridge_node.settings import load

EXIT_FAILED = 1
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
    try:
        return daemon.run_daemon(settings)
    except (net_errors.CannotListenError, zmq.ZMQError) as error:
        print(
            f'{config}: cannot listen on [node] http_address ='
            f' {settings.node.http_address} and peer_address ='
            f' {settings.node.peer_address}: {error}; stop the process'
            ' that uses the address, or configure another address',
            file=sys.stderr,
        )
        return EXIT_FAILED


def run() -> None:
    """Entry point of the `gypsumbridged` command."""
    sys.exit(defopt.run(main))
