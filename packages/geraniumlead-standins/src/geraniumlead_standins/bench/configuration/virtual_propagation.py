"""Measure how a change propagates to 220 state machines in virtual time."""

from collections.abc import Callable
from dataclasses import dataclass
from statistics import median

from msgspec.json import encode
from msgspec.structs import replace

from geraniumlead.documents import DocumentKind, document_key
from geraniumlead_standins.bench.configuration.propagation_row import PropagationRow
from geraniumlead_standins.virtual.small_cluster import (
    ClusterSize,
    SmallCluster,
    default_contract,
)

BOUND_MS = 6_000.0
SETTLE_MS = 4_000.0
POLL_INTERVAL_MS = 5.0
CHANGES = 5
SEEDS = (1, 2, 3)
SIZE = ClusterSize(
    data_centres=tuple(f"centre{number}" for number in range(11)), instances=20, shards=1
)
KEY = document_key(DocumentKind.CONTRACT, "acme")


@dataclass(slots=True, frozen=True)
class FaultCase:
    """A fault that is injected just before each change, and the recovery from it."""

    name: str
    inject_fault: Callable[[SmallCluster], None]
    recover: Callable[[SmallCluster], None] = lambda cluster: None


def _kill_watchers(cluster: SmallCluster) -> None:
    for name in _living(cluster):
        if cluster.run.instances[name].instance.status(cluster.run.now_ms).is_watcher:
            cluster.run.kill(name)


def _start_killed(cluster: SmallCluster) -> None:
    for name, host in list(cluster.run.instances.items()):
        if not host.is_alive:
            cluster.run.start_instance(cluster.settings[name])


def _kill_watchers_of_one(cluster: SmallCluster) -> None:
    for name in _living(cluster):
        if name.startswith("centre0-"):
            status = cluster.run.instances[name].instance.status(cluster.run.now_ms)
            if status.is_watcher:
                cluster.run.kill(name)


def _lose_half_of_messages(cluster: SmallCluster) -> None:
    cluster.run.link.loss = 0.5


def _lose_no_messages(cluster: SmallCluster) -> None:
    cluster.run.link.loss = 0.0


def _isolate_from_platform(cluster: SmallCluster) -> None:
    local = {name for name in cluster.run.instances if name.startswith("centre0-")}
    cluster.run.link.cut_between(local, {"platform"})


def _reconnect(cluster: SmallCluster) -> None:
    cluster.run.link.heal()


CASES = (
    FaultCase("nothing fails", lambda cluster: None),
    FaultCase("half of all messages are lost", _lose_half_of_messages, _lose_no_messages),
    FaultCase("all watchers of one data centre are killed", _kill_watchers_of_one, _start_killed),
    FaultCase("all watchers of all data centres are killed", _kill_watchers, _start_killed),
    FaultCase("one data centre is cut off from the platform", _isolate_from_platform, _reconnect),
)


def measure_virtual() -> list[PropagationRow]:
    """Return one row per case."""
    return [_measure(case) for case in CASES]


def _measure(case: FaultCase) -> PropagationRow:
    times_ms, calls, seconds = [], 0, 0.0
    for seed in SEEDS:
        cluster = SmallCluster.from_size(SIZE, seed)
        cluster.run.queue.run_until(SETTLE_MS)
        calls_before, started_ms = cluster.run.platform.calls, cluster.run.now_ms
        for number in range(CHANGES):
            case.inject_fault(cluster)
            times_ms.append(_time_change(cluster, 1_000.0 * seed + number))
            case.recover(cluster)
            cluster.run.queue.run_until(cluster.run.now_ms + SETTLE_MS)
        calls += cluster.run.platform.calls - calls_before
        seconds += (cluster.run.now_ms - started_ms) / 1_000.0
    return PropagationRow(
        driver="virtual",
        case=case.name,
        instances=len(SIZE.data_centres) * SIZE.instances,
        changes=len(times_ms),
        median_ms=round(median(times_ms), 1),
        slowest_ms=round(max(times_ms), 1),
        late=sum(time_ms > BOUND_MS for time_ms in times_ms),
        platform_calls_per_s=round(calls / seconds, 2),
        seeds=SEEDS,
    )


def _time_change(cluster: SmallCluster, rate_per_s: float) -> float:
    run = cluster.run
    run.publish({KEY: encode(replace(default_contract(), rate_per_s=rate_per_s))})
    started_ms, revision = run.now_ms, run.platform.revision
    while run.now_ms - started_ms < 3 * BOUND_MS:
        run.queue.run_until(run.now_ms + POLL_INTERVAL_MS)
        if all(
            run.instances[name].instance.parts.store.revision >= revision
            for name in _living(cluster)
        ):
            break
    return run.now_ms - started_ms


def _living(cluster: SmallCluster) -> list[str]:
    return [name for name, host in cluster.run.instances.items() if host.is_alive]
