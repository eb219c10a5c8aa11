from json import loads
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from client_tests.builders import run_command

EXAMPLES = Path(__file__).parents[5] / "examples"


class CheckCommandTests(TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "contract.json"

    def test_examples_have_no_errors(self):
        files = [str(path) for path in EXAMPLES.rglob("*.json")]
        code, output, _ = run_command("check", "--strict", *files)
        self.assertEqual(code, 0, output)

    def test_reports_every_error_with_id_and_path(self):
        self.file.write_text('{"customer": "Not A Name", "rate_per_s": 0, "colour": 1}')
        code, output, _ = run_command("check", str(self.file))
        self.assertEqual(code, 1)
        self.assertIn("GL-S006 $.customer", output)
        self.assertIn("GL-S005 $.rate_per_s", output)
        self.assertIn("GL-S001 $.colour", output)
        self.assertIn("the field 'classes' is missing", output)

    def test_finds_two_contracts_for_one_customer(self):
        source = EXAMPLES / "van-dijk" / "contracts" / "coordinators.json"
        self.file.write_bytes(source.read_bytes())
        code, output, _ = run_command("check", "--json", str(source), str(self.file))
        self.assertEqual(code, 1)
        self.assertEqual([item["message"]["id"] for item in loads(output)], ["GL-X001"])

    def test_a_missing_file_is_an_error(self):
        code, output, _ = run_command("check", str(self.file))
        self.assertEqual((code, "GL-F005" in output), (1, True))
