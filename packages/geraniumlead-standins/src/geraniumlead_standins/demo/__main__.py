"""Run a whole deployment on loopback: ``python -m geraniumlead_standins.demo``."""

import argparse
import sys
from datetime import datetime
from pathlib import Path

from geraniumlead_standins.demo.demo_plan import DemoPlan
from geraniumlead_standins.demo.free_ports import find_base_port
from geraniumlead_standins.demo.run_cancellable import run_cancellable
from geraniumlead_standins.demo.runner import DemoRunner
from geraniumlead_standins.deployments import DEPLOYMENTS, AddressPlan

FOLDER = Path("var/demo")
FIRST_PORT = 27_000


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="make demo", description=__doc__)
    parser.add_argument("--deployment", choices=list(DEPLOYMENTS), default="van-dijk")
    parser.add_argument("--data-centres", type=int, default=3, help="use 2 on a small machine")
    parser.add_argument("--duration-s", type=float, default=20.0)
    parser.add_argument("--load-factor", type=float, default=1.0)
    parser.add_argument(
        "--distinct-queries",
        type=int,
        default=200,
        help="different lookups of each class; with 0 every one is new and needs a canary",
    )
    parser.add_argument("--first-port", type=int, default=FIRST_PORT)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--kill", choices=["instance", "upstreams", "platform"])
    return parser


def build_plan(arguments: argparse.Namespace) -> DemoPlan:
    """Return the plan of a run and create its folder."""
    deployment = DEPLOYMENTS[arguments.deployment]().with_data_centres(arguments.data_centres)
    needed = AddressPlan.from_base_port(deployment, 1).port_count
    folder = FOLDER / datetime.now().strftime("%Y%m%d-%H%M%S-%f")
    folder.mkdir(parents=True)
    return DemoPlan(
        deployment=deployment,
        folder=folder,
        base_port=find_base_port(arguments.first_port, needed),
        seed=arguments.seed,
        duration_s=arguments.duration_s,
        kill=arguments.kill,
        load_factor=arguments.load_factor,
        distinct_queries=arguments.distinct_queries,
    )


def main() -> int:
    """Run the demo; return 1 if a guarantee was violated."""
    plan = build_plan(build_parser().parse_args())
    verdict = run_cancellable(DemoRunner(plan).run())
    for violation in verdict.violations:
        print(f"VIOLATED: {violation}")
    return 1 if verdict.violations else 0


if __name__ == "__main__":
    sys.exit(main())
