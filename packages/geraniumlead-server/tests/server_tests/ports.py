"""Find free loopback ports, so that concurrent test runs do not collide."""

import socket


def find_free_port() -> int:
    """Return a port that was free when it was checked."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
