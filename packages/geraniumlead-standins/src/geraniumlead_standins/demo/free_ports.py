"""Find a range of ports that nobody listens on."""

import socket

from geraniumlead_standins.deployments.addresses import HOST

STEP = 500
LAST_BASE_PORT = 32_000
"""Above it, Linux hands ports to outgoing connections."""


def find_base_port(first: int, count: int) -> int:
    """Return the first base port from which ``count`` ports are free; raises OSError."""
    for base_port in range(first, LAST_BASE_PORT, STEP):
        if all(_is_free(port) for port in range(base_port, base_port + count)):
            return base_port
    raise OSError(f"no {count} free ports in a row from {first} to {LAST_BASE_PORT}")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
