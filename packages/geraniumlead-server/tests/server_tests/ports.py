"""Find free loopback ports, so that test runs beside one another don't collide."""

import socket


def find_free_port() -> int:
    """Return a port that nobody listened on a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
