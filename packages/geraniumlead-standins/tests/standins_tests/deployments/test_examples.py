"""Tests that the committed examples are current and have no errors."""

from pathlib import Path
from unittest import TestCase

from geraniumlead.checks import check_set
from geraniumlead.file_checks import check_text
from geraniumlead_standins.deployments import DEPLOYMENTS
from geraniumlead_standins.deployments.__main__ import build_example_files

EXAMPLES = Path(__file__).parents[5] / "examples"


class ExamplesTests(TestCase):
    def test_committed_examples_are_current(self):
        for name, build in DEPLOYMENTS.items():
            files = build_example_files(build(), is_complete=False)
            written = {
                str(path.relative_to(EXAMPLES / name)): path.read_bytes()
                for path in (EXAMPLES / name).rglob("*.json")
            }
            self.assertEqual(written, files)

    def test_complete_examples_pass_every_check(self):
        for name, build in DEPLOYMENTS.items():
            documents = []
            for path, text in build_example_files(build(), is_complete=True).items():
                checked = check_text(path, text)
                self.assertEqual(checked.findings, [], name)
                documents += checked.documents
            self.assertEqual(check_set(documents), [])
