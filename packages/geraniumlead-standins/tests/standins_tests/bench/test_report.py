from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from msgspec.json import decode

from geraniumlead_standins.bench import ResultRow
from geraniumlead_standins.bench.report import update_report


def build_row(pattern: str, variant: str) -> ResultRow:
    return ResultRow(
        pattern=pattern,
        variant=variant,
        class_name="lookup",
        p50_ms=4.0,
        p99_ms=None,
        p999_ms=None,
        coverage=1.0,
        goodput_per_s=10.0,
        refused=0,
    )


class UpdateReportTests(TestCase):
    def test_rows_of_patterns_that_were_not_run_stay(self):
        with TemporaryDirectory() as name:
            folder = Path(name)
            update_report(folder, [build_row("b", "old"), build_row("a", "old")], ["a", "b"])
            update_report(folder, [build_row("b", "new")], ["a", "b"])
            rows = decode((folder / "bench.json").read_bytes(), type=list[ResultRow])
            table = (folder / "bench.md").read_text()
        self.assertEqual([("a", "old"), ("b", "new")], [(r.pattern, r.variant) for r in rows])
        self.assertIn("| 1 | new | lookup | 4.0 | - |", table)
