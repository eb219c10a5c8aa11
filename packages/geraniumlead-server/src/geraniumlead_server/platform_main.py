"""Run one instance on the users' platform: ``python -m geraniumlead_server.platform_main``.

The callers' socket is opened before the rest of the program is loaded. After a power failure
all instances start at once, and loading takes half a second. Callers that connect meanwhile wait
in the socket's backlog and are served, whereas a closed port would reject them.
"""

import argparse
import gc
import socket
import sys
from pathlib import Path

from msgspec import DecodeError, ValidationError

from geraniumlead.settings.platform_settings import PlatformSettings

EXIT_BAD_SETTINGS = 2

MAX_UNACCEPTED_CONNECTIONS = 512
"""Connections that wait while the program loads; some hundred callers connect each second."""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="geraniumleadd --platform", description=__doc__)
    parser.add_argument("--settings", type=Path, required=True, help="JSON file of settings")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    return parser


def load_platform_settings(path: Path) -> PlatformSettings | str:
    """Return the settings in a file, or an error message."""
    try:
        return PlatformSettings.from_json(path.read_bytes())
    except OSError as error:
        return f"cannot read {path}: {error.strerror}"
    except (DecodeError, ValidationError, RecursionError) as error:
        return f"{path}: {error}"


def open_callers_socket(address: str) -> socket.socket:
    """Return a socket that listens on an ``IP:port`` address.

    Failure: asyncio turns Nagle's algorithm off for sockets that name TCP as their protocol, and
    those of other connections have the body of an answer wait up to 40 ms for the acknowledgement
    of its head.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(MAX_UNACCEPTED_CONNECTIONS)
    listener.setblocking(False)
    return listener


def main(argv: list[str] | None = None) -> int:
    """Serve opaque requests until SIGTERM; exit 2 for bad settings."""
    arguments = build_parser().parse_args(argv)
    settings = load_platform_settings(arguments.settings)
    if isinstance(settings, str):
        print(f"geraniumleadd: {settings}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if arguments.check:
        return 0
    listener = open_callers_socket(settings.listen.callers)
    # Objects created by imports live as long as the process. Scanning them for cycles takes a
    # twentieth of the start, and later blocks the event loop; the daemon freezes them and
    # enables the collector again.
    gc.disable()

    from geraniumlead_server.event_loop import run
    from geraniumlead_server.logs import QueuedOutput, configure_logging
    from geraniumlead_server.platform_daemon import PlatformDaemon

    configure_logging(settings, QueuedOutput(sys.stdout.fileno()))
    run(PlatformDaemon(settings, arguments.settings, listener).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
