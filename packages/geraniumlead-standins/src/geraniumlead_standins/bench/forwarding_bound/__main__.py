"""Print the credit that callers earn, and the most that they could earn.

``python -m geraniumlead_standins.bench.forwarding_bound --seeds 4`` runs some loads. ``--grid``
runs many index sizes, round-trip times and latency goals; ``--ablation`` runs the loads with one
mechanism off at a time.
"""

import sys
from argparse import ArgumentParser

from geraniumlead_standins.bench.forwarding_bound.ablation import run_ablation
from geraniumlead_standins.bench.forwarding_bound.forwarder_run import ForwarderRun
from geraniumlead_standins.bench.forwarding_bound.grid import run_grid
from geraniumlead_standins.bench.forwarding_bound.load_model import LoadModel
from geraniumlead_standins.bench.forwarding_bound.oracle import run_oracle, run_plain

LOADS = (
    LoadModel("quiet, 20 shards"),
    LoadModel("a seventh slow, 20 shards", slow_share=0.15),
    LoadModel("a third slow, 20 shards", slow_share=0.33),
    LoadModel("a shard dark, 20 shards", unresponsive_shards=1),
    LoadModel("quiet, 90 shards, 3 upstreams", 90, 3, queries_per_s=3.0, min_share=0.95),
    LoadModel(
        "a seventh slow, 90 shards", 90, 3, queries_per_s=3.0, min_share=0.95, slow_share=0.15
    ),
    LoadModel("quiet, 20 shards, goal of 100 ms", work_ms=7.0, goal_ms=100.0, min_share=0.75),
)


def main(argv: list[str] | None = None) -> int:
    """Print the table; its figures are means over the seeds."""
    parser = ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--grid", action="store_true", help="many sizes; exit 1 if any is worse")
    parser.add_argument("--ablation", action="store_true", help="one mechanism off at a time")
    arguments = parser.parse_args(argv)
    seeds = range(1, arguments.seeds + 1)
    if arguments.grid:
        return 1 if run_grid(arguments.seeds) else 0
    if arguments.ablation:
        run_ablation(LOADS, seeds)
        return 0
    print("| load | plain | ours | late | sent again, a query | perfect knowledge | left |")
    print("|---|---|---|---|---|---|---|")
    for load in LOADS:
        ours = [ForwarderRun(load, seed).run() for seed in seeds]
        plain = sum(run_plain(load, seed).mean for seed in seeds) / len(seeds)
        bounds = [run_oracle(load, seed) for seed in seeds]
        earned = sum(credit.mean for credit in ours) / len(ours)
        bound = sum(credit.mean for credit in bounds) / len(bounds)
        late = sum(credit.late for credit in ours) / sum(credit.queries for credit in ours)
        extra = sum(credit.extra_attempts for credit in ours) / sum(
            credit.queries for credit in ours
        )
        print(
            f"| {load.name} | {plain:.3f} | {earned:.3f} | {late:.3f} | {extra:.2f} | {bound:.3f} "
            f"| {bound - earned:.3f} |",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
