"""Read from the kernel what it knows of a caller's connection."""

import socket
import struct
from dataclasses import dataclass

DEFAULT_ROUND_TRIP_MS = 6.0
"""Used where the kernel gives no value; callers are usually 1 to 3 ms away."""

TCP_INFO_BYTES = 104
LAST_DATA_RECEIVED_OFFSET = 52
"""Offset of ``tcpi_last_data_recv``, in milliseconds, in Linux's ``struct tcp_info``."""

STATE_OFFSET = 0
CLOSE_WAIT = 8
"""Offset of ``tcpi_state``, and its value once the other side has closed the connection."""

ROUND_TRIP_OFFSET = 68
"""Offset of ``tcpi_rtt``, in microseconds."""


@dataclass(frozen=True, slots=True)
class TcpInfo:
    """The smoothed round-trip time of a connection, and how long ago its last data arrived.

    ``is_closed_by_peer`` says that the other side sends nothing more.
    """

    round_trip_ms: float = DEFAULT_ROUND_TRIP_MS
    last_data_age_ms: float = 0.0
    is_closed_by_peer: bool = False


def read_tcp_info(connection: socket.socket | None) -> TcpInfo:
    """Return what the kernel knows of a TCP connection; defaults where it knows nothing."""
    if connection is None or not hasattr(socket, "TCP_INFO"):
        return TcpInfo()
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        # The connection has just closed; the values will not be needed.
        return TcpInfo()
    if len(info) < ROUND_TRIP_OFFSET + 4:
        return TcpInfo()
    (last_data_age_ms,) = struct.unpack_from("I", info, LAST_DATA_RECEIVED_OFFSET)
    (round_trip_us,) = struct.unpack_from("I", info, ROUND_TRIP_OFFSET)
    is_closed_by_peer = info[STATE_OFFSET] == CLOSE_WAIT
    return TcpInfo(round_trip_us / 1000.0, float(last_data_age_ms), is_closed_by_peer)
