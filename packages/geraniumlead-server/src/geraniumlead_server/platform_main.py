"""Run one instance on the users' platform: ``python -m geraniumlead_server.platform_main``.

The callers' socket is opened before the rest of the program is loaded. After a loss of power
all instances start at once, and loading takes half a second: callers that come meanwhile wait
in the socket's queue and are served, where a closed port would turn them away.
"""

import argparse
import gc
import socket
import sys
from pathlib import Path

from msgspec import DecodeError, ValidationError

from geraniumlead.settings.platform_settings import PlatformSettings

EXIT_BAD_SETTINGS = 2

MOST_UNACCEPTED = 512
"""Connections that wait for the program; some hundred callers come in a second."""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="geraniumleadd --platform", description=__doc__)
    parser.add_argument("--settings", type=Path, required=True, help="JSON file of settings")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    return parser


def load_platform_settings(path: Path) -> PlatformSettings | str:
    """Return the settings in a file, or what is wrong with it."""
    try:
        return PlatformSettings.from_json(path.read_bytes())
    except OSError as error:
        return f"cannot read {path}: {error.strerror}"
    except (DecodeError, ValidationError, RecursionError) as error:
        return f"{path}: {error}"


def open_callers_socket(address: str) -> socket.socket:
    """Return a socket that listens on an ``IP:port`` address."""
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(MOST_UNACCEPTED)
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
    # What loading creates stays for good. Looking through it for cycles again and again takes
    # a twentieth of the start, and later holds up the loop; the daemon turns it on again.
    gc.disable()

    import asyncio

    from geraniumlead_server.logs import QueuedOutput, configure_logging
    from geraniumlead_server.platform_daemon import PlatformDaemon

    configure_logging(settings, QueuedOutput(sys.stdout.fileno()))
    asyncio.run(PlatformDaemon(settings, arguments.settings, listener).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
