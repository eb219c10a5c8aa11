"""Print the credit that callers of a fleet earn before, during and after a burst.

    python -m geraniumlead_standins.bench.fleet_load --instances 18 85 --core-share 0.12 0.5

Each row is one run. Its columns are the mean credit of a query in the first seconds, in normal
load, of the shorter kind of query in normal load, in a burst of three times the load, and in the
five seconds after it. The last one is the number of connections opened per subrequest sent.
"""

import sys
from argparse import ArgumentParser
from dataclasses import replace

from geraniumlead_standins.bench.fleet_load.fleet_run import FleetRun
from geraniumlead_standins.bench.fleet_load.load import PEEK, FleetLoad
from geraniumlead_standins.bench.forwarding_bound.upstream_model import TimeInterval

QUERIES_PER_INSTANCE = 0.2
FIRST_QUERY_MS = 8_000.0
NORMAL_LOAD_MS = 12_000.0
BURST_MS = 20_000.0
AFTER_BURST_MS = 25_000.0
END_MS = 30_000.0
BURST_FACTOR = 3.0

HEADINGS = "| instances | core | seed | first | calm | calm, peek | burst | after | connections |"


def build_load(instances: int, core_share: float, queries_per_s: float | None = None) -> FleetLoad:
    """Return a load with a burst of five seconds after the normal load."""
    return FleetLoad(
        instances=instances,
        core_share=core_share,
        queries_per_s=queries_per_s or QUERIES_PER_INSTANCE * instances,
        first_ms=FIRST_QUERY_MS,
        end_ms=END_MS,
        burst=TimeInterval(BURST_MS, AFTER_BURST_MS),
        burst_factor=BURST_FACTOR,
    )


def run_row(load: FleetLoad, seed: int) -> str:
    """Run a load; return its line of the table."""
    run = FleetRun(load, seed).run()
    figures = [
        run.credit(FIRST_QUERY_MS, NORMAL_LOAD_MS),
        run.credit(NORMAL_LOAD_MS, BURST_MS),
        run.credit(NORMAL_LOAD_MS, BURST_MS, PEEK),
        run.credit(BURST_MS, AFTER_BURST_MS),
        run.credit(AFTER_BURST_MS, END_MS),
        run.connections_per_subrequest,
    ]
    cells = " | ".join(f"{figure:.3f}" for figure in figures)
    return f"| {load.instances} | {load.core_share} | {seed} | {cells} |"


def main() -> int:
    """Parse the command line and print the table."""
    parser = ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--instances", type=int, nargs="+", default=[18, 85])
    parser.add_argument("--core-share", type=float, nargs="+", default=[0.12, 0.5])
    parser.add_argument("--seeds", type=int, default=3, help="runs of each size")
    parser.add_argument("--slack", type=float, help="fixed budget of extra attempts of the fleet")
    options = parser.parse_args()
    print(HEADINGS)
    print("|---" * (HEADINGS.count("|") - 1) + "|")
    for instances in options.instances:
        for core_share in options.core_share:
            load = build_load(instances, core_share)
            if options.slack is not None:
                load = replace(load, extra_slack=options.slack)
            for seed in range(1, options.seeds + 1):
                print(run_row(load, seed), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
