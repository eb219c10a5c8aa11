"""Test that the reference page of the checks lists every check."""

import re
from pathlib import Path
from unittest import TestCase

ROOT = Path(__file__).parents[5]
CHECK_ID = re.compile(r"GL-[A-Z]\d{3}")


class ReferenceTests(TestCase):
    def test_page_names_exactly_the_checks_in_the_code(self):
        sources = [*(ROOT / "packages").glob("geraniumlead/src/geraniumlead/*checks/*.py")]
        sources += (ROOT / "packages").glob("geraniumlead-client/src/**/check.py")
        in_code = {found for path in sources for found in CHECK_ID.findall(path.read_text())}
        page = (ROOT / "docs" / "reference" / "checks.md").read_text()
        self.assertEqual(set(CHECK_ID.findall(page)), in_code)
