"""Listening ports whose connections share the process's resources."""

from typing import Any

from gypsumbridge_node import address
from gypsumbridge_node.gateway import listening_port
from gypsumbridge_node.gateway import runtime as runtimes

BACKLOG = 512


def listen(
    runtime: runtimes.GatewayRuntime, listen_address: str, factory: Any
) -> Any:
    """Listen on `ip:port`; return the listening port."""
    host, port = address.split_address(listen_address)
    listening = listening_port.ListeningPort(
        port, factory, BACKLOG, host, runtime.reactor
    )
    listening.startListening()
    return listening
