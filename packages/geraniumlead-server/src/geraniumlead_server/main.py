"""Run one entry instance: the command ``geraniumleadd``."""

import argparse
import sys
from pathlib import Path

from msgspec import DecodeError

from geraniumlead.checks import find_refusal
from geraniumlead.settings import InstanceSettings
from geraniumlead_server.logs import configure_logging

EXIT_BAD_SETTINGS = 2


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="geraniumleadd", description=__doc__)
    parser.add_argument("--settings", type=Path, required=True, help="JSON file of settings")
    parser.add_argument(
        "--platform",
        action="store_true",
        help="run on the users' platform; SETTINGS is then a file of platform settings",
    )
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    return parser


def load_settings(path: Path) -> InstanceSettings | list[str]:
    """Return the settings in a file, or a list of its errors, one line each."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return [f"cannot read {path}: {error.strerror}"]
    try:
        settings = InstanceSettings.from_json(text)
    except (DecodeError, RecursionError):
        return explain_errors(path, text)
    return explain_errors(path, text) if find_refusal(settings) else settings


def explain_errors(path: Path, text: bytes) -> list[str]:
    """Return every error of a settings file."""
    # Imported only for invalid settings: a running daemon does not need the schema library.
    from geraniumlead.file_checks import check_text

    findings = check_text(str(path), text, kind="settings").findings
    return [f"{name}: {message.to_text()}" for name, message in findings]


def main(argv: list[str] | None = None) -> int:
    """Run until SIGTERM; exit 2 for bad settings."""
    arguments = build_parser().parse_args(argv)
    if arguments.platform:
        # Imported only here: neither daemon needs the modules of the other.
        from geraniumlead_server.platform_main import main as run_on_platform

        checks = ["--check"] if arguments.check else []
        return run_on_platform(["--settings", str(arguments.settings), *checks])
    settings = load_settings(arguments.settings)
    if isinstance(settings, list):
        for line in settings:
            print(f"geraniumleadd: {line}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if arguments.check:
        return 0
    from geraniumlead_server.daemon import Daemon
    from geraniumlead_server.event_loop import run

    configure_logging(settings)
    run(Daemon.from_settings(settings).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
