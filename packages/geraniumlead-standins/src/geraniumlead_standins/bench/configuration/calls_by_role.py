"""Count platform calls by the role of the instance, in virtual time."""

from collections import Counter

from geraniumlead.actions import ReadPlatform
from geraniumlead_standins.bench.configuration.virtual_propagation import SETTLE_MS, SIZE
from geraniumlead_standins.virtual.small_cluster import SmallCluster

MEASURED_MS = 20_000.0


def measure_calls_by_role(is_down: bool) -> dict[str, float]:
    """Return reads per second that watchers and others begin, and all answered calls per second."""
    cluster = SmallCluster.from_size(SIZE, 1)
    run = cluster.run
    run.queue.run_until(SETTLE_MS)
    run.platform.is_down = is_down
    run.queue.run_until(2 * SETTLE_MS)
    watchers = {
        name for name, host in run.instances.items() if host.instance.status(run.now_ms).is_watcher
    }
    reads: Counter[bool] = Counter()

    def count(name, action, now_ms) -> None:
        if isinstance(action, ReadPlatform) and not action.stop:
            reads[name in watchers] += 1

    run.on_action = count
    calls_before = run.platform.calls
    run.queue.run_until(run.now_ms + MEASURED_MS)
    seconds = MEASURED_MS / 1_000.0
    return {
        "instances": len(run.instances),
        "watchers": len(watchers),
        "reads_begun_by_watchers_per_s": round(reads[True] / seconds, 2),
        "reads_begun_by_others_per_s": round(reads[False] / seconds, 2),
        "answered_calls_per_s": round((run.platform.calls - calls_before) / seconds, 2),
    }
