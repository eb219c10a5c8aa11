from json import loads
from pathlib import Path
from unittest import TestCase

from client_tests.builders import run_command
from geraniumlead.file_checks import SCHEMA_NAMES
from geraniumlead_client.commands.schema import render_schema

SCHEMAS = Path(__file__).parents[5] / "docs" / "reference" / "schemas"


class SchemaCommandTests(TestCase):
    def test_committed_schemas_are_current(self):
        """Update them with ``geraniumlead schema --folder docs/reference/schemas``."""
        written = {path.stem: path.read_bytes() for path in SCHEMAS.glob("*.json")}
        self.assertEqual(written, {name: render_schema(name) for name in SCHEMA_NAMES})

    def test_prints_one_schema(self):
        code, output, _ = run_command("schema", "--name", "contracts")
        self.assertEqual((code, "$schema" in loads(output)), (0, True))
