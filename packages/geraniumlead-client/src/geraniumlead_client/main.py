"""Run the operators' command ``geraniumlead``."""

import argparse
import sys

from geraniumlead_client.commands import COMMANDS


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line with all commands."""
    parser = argparse.ArgumentParser(prog="geraniumlead", description=__doc__)
    subparsers = parser.add_subparsers(dest="command", required=True)
    for command in COMMANDS:
        subparser = subparsers.add_parser(
            command.name, help=command.help, description=type(command).__doc__
        )
        command.add_arguments(subparser)
        subparser.set_defaults(run=command.run)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    arguments = build_parser().parse_args(argv)
    return arguments.run(arguments)


if __name__ == "__main__":
    sys.exit(main())
