"""Socket options and TCP measurements of a connection."""

import socket
import struct

import logbook

# A peer that disappears without a reset is detected after the idle time and
# the unanswered probes, about 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A connection is closed if sent data is not acknowledged for this long.
USER_TIMEOUT_MS = 2_000

# `struct tcp_info` of Linux: its size up to `tcpi_total_retrans`, and where
# `tcpi_rtt` (microseconds, 32 bits) lies in it.
TCP_INFO_BYTES = 104
RTT_OFFSET_BYTES = 68

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def enable_failure_detection(
    sock: socket.socket, logger: logbook.Logger
) -> None:
    """Set keep-alive probes and a timeout for unacknowledged data."""
    for level, name, value in _OPTIONS:
        try:
            sock.setsockopt(level, name, value)
        except OSError as error:
            logger.warning(
                'socket option refused',
                extra={'option': int(name), 'error': str(error)},
            )


def round_trip_ms(sock: socket.socket) -> float:
    """Return TCP's smoothed round-trip time."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    (microseconds,) = struct.unpack_from('=I', info, RTT_OFFSET_BYTES)
    return microseconds / 1000
