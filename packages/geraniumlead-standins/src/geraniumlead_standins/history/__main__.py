"""Check history files: ``python -m geraniumlead_standins.history FILE...``."""

import argparse
import sys
from pathlib import Path

from geraniumlead_standins.history.checks import check_all
from geraniumlead_standins.history.history import History

MAX_SHOWN_VIOLATIONS = 20


def main() -> int:
    """Print a line for each invariant; return 1 if any was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", type=Path, nargs="+")
    results = check_all(History.from_files(parser.parse_args().files))
    for result in results:
        print(
            f"{result.invariant}: {result.operations} operations, {len(result.violations)} broken"
        )
        for violation in result.violations[:MAX_SHOWN_VIOLATIONS]:
            print(f"  {violation.at_ns}: {violation.detail}")
    return 1 if any(result.violations for result in results) else 0


if __name__ == "__main__":
    sys.exit(main())
