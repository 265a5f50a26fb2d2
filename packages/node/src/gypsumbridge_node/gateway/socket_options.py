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

# Buffers of each accepted connection. Those that Linux sizes by itself grow to
# megabytes for a peer that sends much and reads nothing, and count towards the
# memory of the host. Linux takes twice the size, with its own overhead.
BUFFER_BYTES = 65_536
HELD_BUFFER_BYTES = 2 * BUFFER_BYTES

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


def bound_buffers(listening: socket.socket) -> None:
    """Bound the buffers of the connections that a socket will accept.

    The window that TCP offers a peer is fixed when a connection opens, so
    this comes before the first one.
    """
    for name in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        listening.setsockopt(socket.SOL_SOCKET, name, BUFFER_BYTES)


def round_trip_ms(sock: socket.socket) -> float:
    """Return TCP's smoothed round-trip time."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    (microseconds,) = struct.unpack_from('=I', info, RTT_OFFSET_BYTES)
    return microseconds / 1000
