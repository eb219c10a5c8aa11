from argparse import ArgumentParser, Namespace
from pathlib import Path

from msgspec.json import encode, format

from geraniumlead.file_checks import SCHEMA_NAMES, build_schema
from geraniumlead_client.exit_codes import OK
from geraniumlead_client.management_command import ManagementCommand
from geraniumlead_client.printing import print_json


class SchemaCommand(ManagementCommand):
    """Print one JSON schema, or write all of them to a folder."""

    name = "schema"
    help = "print or write the JSON schemas of documents and settings"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the name or the folder."""
        group = parser.add_mutually_exclusive_group(required=True)
        group.add_argument("--name", choices=SCHEMA_NAMES, help="print this one")
        group.add_argument("--folder", type=Path, help="write all to this folder")

    def run(self, arguments: Namespace) -> int:
        """Print the named schema, or write all schemas to the folder."""
        if arguments.name is not None:
            print_json(build_schema(arguments.name))
            return OK
        arguments.folder.mkdir(parents=True, exist_ok=True)
        for name in SCHEMA_NAMES:
            (arguments.folder / f"{name}.json").write_bytes(render_schema(name))
        return OK


def render_schema(name: str) -> bytes:
    """Return the contents of a schema's file."""
    return format(encode(build_schema(name)), indent=2) + b"\n"
