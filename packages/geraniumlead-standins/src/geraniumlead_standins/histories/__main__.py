"""Run the schedules and write the table: ``python -m geraniumlead_standins.histories``."""

import argparse
import sys
from pathlib import Path

from geraniumlead_standins.histories.matrix import (
    Table,
    draw_pairs,
    failures_twice,
    run_with_safeguards,
    run_without_safeguards,
    single_failures,
)
from geraniumlead_standins.histories.report import write_report

PAGE = Path("docs/measurements/invariants.md")


def main() -> int:
    """Run the schedules and write the page; return 1 if an invariant is violated as shipped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=4, help="runs of each single failure")
    parser.add_argument("--seeds-off", type=int, default=2, help="of these, also without safeguard")
    parser.add_argument("--pairs", type=int, default=60, help="drawn pairs of failures")
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--page", type=Path, default=PAGE)
    arguments = parser.parse_args()
    first, table = arguments.first_seed, Table()
    seeds = range(first, first + arguments.seeds)
    for label, scenarios in single_failures(seeds):
        run_with_safeguards(table, label, scenarios)
        run_without_safeguards(table, label, scenarios[: arguments.seeds_off])
        print(label, flush=True)
    run_with_safeguards(table, "pairs", draw_pairs(first, arguments.pairs))
    run_with_safeguards(table, "each twice", failures_twice(first))
    text = (
        f"{seeds.start} to {seeds.stop - 1} for single failures, the first "
        f"{arguments.seeds_off} of them also without safeguard; pairs drawn from {first}"
    )
    arguments.page.parent.mkdir(parents=True, exist_ok=True)
    arguments.page.write_text(write_report(table, text))
    return 1 if any(cell.broken_with for cell in table.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
