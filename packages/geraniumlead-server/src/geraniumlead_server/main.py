"""Run one entry instance: the command ``geraniumleadd``."""

import argparse
import asyncio
import sys
from pathlib import Path

from msgspec import DecodeError

from geraniumlead.settings import InstanceSettings
from geraniumlead_server.daemon import Daemon
from geraniumlead_server.logs import configure_logging

EXIT_BAD_SETTINGS = 2


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="geraniumleadd", description=__doc__)
    parser.add_argument("--settings", type=Path, required=True, help="JSON file of settings")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    return parser


def load_settings(path: Path) -> InstanceSettings | str:
    """Return the settings in a file, or what is wrong with it."""
    try:
        return InstanceSettings.from_json(path.read_bytes())
    except OSError as error:
        return f"cannot read {path}: {error.strerror}"
    except DecodeError as error:
        return f"{path}: {error}"


def main() -> int:
    """Run until SIGTERM; exit 2 for bad settings."""
    arguments = build_parser().parse_args()
    settings = load_settings(arguments.settings)
    if isinstance(settings, str):
        print(f"geraniumleadd: {settings}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if arguments.check:
        return 0
    configure_logging(settings)
    asyncio.run(Daemon.from_settings(settings).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
