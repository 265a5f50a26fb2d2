"""Options that find connections whose peer is gone."""

import socket

import logbook

# A peer that vanished without a reset is noticed within about this time.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Sent data that is not acknowledged for this long ends a connection.
USER_TIMEOUT_MS = 2_000

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def detect_lost_peer(found: socket.socket, logger: logbook.Logger) -> None:
    """Set keep-alive probes and a bound on unacknowledged data."""
    for level, name, value in _OPTIONS:
        try:
            found.setsockopt(level, name, value)
        except OSError as error:
            logger.warning(
                'socket option refused',
                extra={'option': int(name), 'error': str(error)},
            )
