"""Hand out free loopback ports for the processes of tests."""

import os
import socket

HOST = "127.0.0.1"
FIRST_PORT = 10_240
PORTS = 14_760
"""All below the ports that Linux gives to outgoing connections and to sockets that ask for any:
one of these may be taken again before the process that it is meant for has opened it."""

PORTS_OF_A_RUN = 820


class FreePorts:
    """Hands out ports one after the other, so that none is given twice in a run.

    Runs at the same time begin at different ports, if their numbers differ.
    """

    __slots__ = ("_next_offset",)

    def __init__(self, run_number: int) -> None:
        self._next_offset = run_number * PORTS_OF_A_RUN % PORTS

    def take(self) -> int:
        """Return a port on which nobody listens, or raise OSError."""
        for _ in range(PORTS):
            port = FIRST_PORT + self._next_offset
            self._next_offset = (self._next_offset + 1) % PORTS
            if is_free(port):
                return port
        raise OSError(f"no free port from {FIRST_PORT} to {FIRST_PORT + PORTS}")


def is_free(port: int) -> bool:
    """Return whether nobody listens on a loopback port."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


_PORTS = FreePorts(os.getpid())


def find_free_port() -> int:
    """Return a port that this process has not handed out yet, and on which nobody listens."""
    return _PORTS.take()
