"""Find and run the tests of every package, and print one line with their counts."""

import argparse
import logging
import sys
from pathlib import Path
from unittest import TestLoader, TestResult, TestSuite, TextTestRunner

from geraniumlead_standins.testing.known_red import read_known_red

KNOWN_RED_FILE = Path("KNOWN-RED.txt")


def load_tests(packages_folder: Path, pattern: str) -> TestSuite:
    """Return the tests in every ``packages/<name>/tests``."""
    suite = TestSuite()
    for folder in sorted(packages_folder.glob("*/tests")):
        suite.addTests(TestLoader().discover(str(folder), pattern=pattern, top_level_dir=folder))
    return suite


def find_failed_ids(result: TestResult) -> set[str]:
    """Return the ids of tests that failed, had an error or passed unexpectedly."""
    failed = [test for test, _ in result.failures + result.errors]
    return {test.id().split(" ")[0] for test in failed + list(result.unexpectedSuccesses)}


def main() -> int:
    """Run the tests; return 1 if a failure is not listed in KNOWN-RED.txt or no test passed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("packages", type=Path, help="the folder that holds the packages")
    parser.add_argument("--pattern", default="test_*.py", help="file names to run")
    arguments = parser.parse_args()
    # Tests that provoke failures on purpose would flood the output with log lines.
    logging.disable(logging.ERROR)
    result = TextTestRunner(verbosity=1).run(load_tests(arguments.packages, arguments.pattern))
    known_red = read_known_red(KNOWN_RED_FILE)
    failed = find_failed_ids(result)
    for test_id in sorted(failed & known_red.keys()):
        print(f"known red: {test_id}: {known_red[test_id]}")
    unexpected = failed - known_red.keys()
    passed = result.testsRun - len(failed) - len(result.skipped)
    print(f"{passed} passed, {len(failed)} failed, {len(result.skipped)} skipped")
    return 1 if unexpected or passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
