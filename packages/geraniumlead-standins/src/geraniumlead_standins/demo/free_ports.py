"""Find a range of unused ports."""

import socket

from geraniumlead_standins.deployments.addresses import HOST

BASE_PORT_STEP = 500
MAX_BASE_PORT = 32_000
"""Linux assigns higher ports to outgoing connections."""


def find_base_port(first: int, count: int) -> int:
    """Return the first base port from which ``count`` ports are free, or raise OSError."""
    for base_port in range(first, MAX_BASE_PORT, BASE_PORT_STEP):
        if all(_is_free(port) for port in range(base_port, base_port + count)):
            return base_port
    raise OSError(f"no {count} free ports in a row from {first} to {MAX_BASE_PORT}")


def _is_free(port: int) -> bool:
    with socket.socket() as test_socket:
        test_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            test_socket.bind((HOST, port))
        except OSError:
            return False
    return True
