"""Run the load patterns and write docs/measurements/bench.json and bench.md."""

import argparse
import sys
from pathlib import Path
from time import perf_counter

from geraniumlead_standins.bench.pattern import Pattern
from geraniumlead_standins.bench.report import update_report


def main() -> int:
    """Run all load patterns, or those named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="patterns to run; all without")
    parser.add_argument("--folder", type=Path, default=Path("docs/measurements"))
    arguments = parser.parse_args()
    found = Pattern.find_all()
    unknown = set(arguments.names) - {pattern.name for pattern in found}
    if unknown:
        parser.error(f"no such pattern: {', '.join(sorted(unknown))}")
    for pattern in found:
        if arguments.names and pattern.name not in arguments.names:
            continue
        started_s = perf_counter()
        rows = pattern.measure()
        update_report(arguments.folder, rows, [other.name for other in found])
        print(f"{pattern.name}: {len(rows)} rows in {perf_counter() - started_s:.1f} s", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
