"""Every upstream of the only data centre restarts cold at once."""

from contextlib import AbstractContextManager, nullcontext

from geraniumlead_standins.bench.load_run import SETTLED_MS, LoadRun
from geraniumlead_standins.bench.policies import (
    with_cold_slot_for_every_owner,
    without_cold_start_guard,
)
from geraniumlead_standins.bench.result_row import ResultRow
from geraniumlead_standins.virtual.small_cluster import ClusterSize, SmallCluster

NAME = "cold upstreams"
SEEDS = (1, 2, 3, 4)

SIZE = ClusterSize(instances=3, shards=20, replicas=2)
RATE_PER_S = 100.0
COLD_ANSWERS = 20
RESTART_MS = SETTLED_MS + 1_000.0
END_MS = RESTART_MS + 4_000.0
STEP_MS = 5.0

VARIANTS = {
    "without": without_cold_start_guard,
    "with": nullcontext,
    "with, one instance cut off": nullcontext,
    "rival: one call for each owner": with_cold_slot_for_every_owner,
}
ISOLATED_VARIANT = "with, one instance cut off"


def run(seed: int) -> list[ResultRow]:
    """Return one row per variant for the four seconds after the restart."""
    return [_measure(seed, variant, policy()) for variant, policy in VARIANTS.items()]


def _measure(seed: int, variant: str, policy: AbstractContextManager) -> ResultRow:
    with policy:
        load = LoadRun(SmallCluster.from_size(SIZE, seed), RATE_PER_S, least_coverage=0.0)
        load.send_until(RESTART_MS)
        for upstream in load.upstreams():
            upstream.restart(COLD_ANSWERS)
        if variant == ISOLATED_VARIANT:
            _isolate_one_instance(load)
        warm_ms = None
        while load.cluster.run.now_ms < END_MS:
            load.send_until(min(END_MS, load.cluster.run.now_ms + STEP_MS))
            if warm_ms is None and not any(
                replica.cold_answers_left for replica in load.upstreams()
            ):
                warm_ms = load.cluster.run.now_ms - RESTART_MS
        load.finish()
    most_calls = max(upstream.max_calls_while_cold for upstream in load.upstreams())
    more = {
        "most_calls_while_cold": most_calls,
        "warm_after_ms": -1.0 if warm_ms is None else warm_ms,
    }
    # Minimum for one call at a time: the answers come one after the other.
    more["best_warm_after_ms"] = COLD_ANSWERS * SIZE.service_median_ms * 1.083
    return load.summarise(NAME, variant, RESTART_MS, END_MS, **more)


def _isolate_one_instance(load: LoadRun) -> None:
    names = set(load.cluster.run.instances)
    isolated = {min(names)}
    load.cluster.run.link.cut_between(isolated, names - isolated | {"platform"})
