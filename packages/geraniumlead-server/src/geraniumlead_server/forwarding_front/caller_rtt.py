"""Read the round-trip time to a caller from the kernel."""

import socket
import struct

DEFAULT_ROUND_TRIP_MS = 6.0
"""Used where the kernel gives no value; callers are usually 1 to 3 ms away."""

TCP_INFO_BYTES = 104
ROUND_TRIP_OFFSET = 68
"""Offset of ``tcpi_rtt``, in microseconds, in Linux's ``struct tcp_info``."""


def measure_round_trip_ms(connection: socket.socket | None) -> float:
    """Return the smoothed round-trip time of a TCP connection."""
    if connection is None or not hasattr(socket, "TCP_INFO"):
        return DEFAULT_ROUND_TRIP_MS
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        # The connection has just closed; the value will not be needed.
        return DEFAULT_ROUND_TRIP_MS
    if len(info) < ROUND_TRIP_OFFSET + 4:
        return DEFAULT_ROUND_TRIP_MS
    return struct.unpack_from("I", info, ROUND_TRIP_OFFSET)[0] / 1000.0
