"""Test that names of the platform's formats are used in the folder ``platform`` only."""

from pathlib import Path
from re import compile as compile_pattern
from unittest import TestCase

PACKAGES = Path(__file__).resolve().parents[4]
PLATFORM_NAMES = compile_pattern(
    r"\b(Expect-Instance|Response-Stamp|Part-Stamps|Missing-Parts|Deadline-Ms|Not-Executed"
    r"|kv-range|kv-watch|oldestVersion|latencyGoalMs|maxAttempts|trafficSplit|fanout|topK"
    r"|allowedRegions|warmupLeftMs|warmupPerS|currentRev|waitMs)\b"
)


class PlatformNamesTests(TestCase):
    def test_no_other_module_uses_them(self):
        found = []
        for package in ("geraniumlead", "geraniumlead-server", "geraniumlead-client"):
            for path in (PACKAGES / package / "src").rglob("*.py"):
                if path.parent.name != "platform" and PLATFORM_NAMES.search(path.read_text()):
                    found.append(str(path.relative_to(PACKAGES)))
        self.assertEqual([], found)
