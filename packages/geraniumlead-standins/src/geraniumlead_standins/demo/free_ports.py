"""Find a range of unused ports."""

from geraniumlead_standins.testing.free_ports import is_free

BASE_PORT_STEP = 500
MAX_BASE_PORT = 32_000
"""Linux assigns higher ports to outgoing connections."""


def find_base_port(first: int, count: int) -> int:
    """Return the first base port from which ``count`` ports are free, or raise OSError."""
    for base_port in range(first, MAX_BASE_PORT, BASE_PORT_STEP):
        if all(is_free(port) for port in range(base_port, base_port + count)):
            return base_port
    raise OSError(f"no {count} free ports in a row from {first} to {MAX_BASE_PORT}")
