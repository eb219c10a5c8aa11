"""Operators take one of two data centres out of service for four seconds."""

from contextlib import ExitStack

from msgspec.json import encode

from geraniumlead.documents import DataCentreDocument, DocumentKind, document_key
from geraniumlead_standins.bench.load_run import SETTLED_MS, LoadRun
from geraniumlead_standins.bench.policies import (
    with_cold_slot_for_every_owner,
    without_cold_start_guard,
)
from geraniumlead_standins.bench.result_row import ResultRow
from geraniumlead_standins.virtual.small_cluster import ClusterSize, SmallCluster

NAME = "data centre out and back"
SEEDS = (1, 2)

SIZE = ClusterSize(data_centres=("noord", "zuid"), instances=2, shards=20, replicas=2)
RATE_PER_S = 100.0
OUT_MS = SETTLED_MS + 2_000.0
BACK_MS = OUT_MS + 4_000.0
END_MS = BACK_MS + 4_000.0
NOTICE_MS = 1_500.0
COLD_ANSWERS = 20
ONE_WAY_DELAY_MS = 0.5

VARIANTS = {
    "without cold start guard": without_cold_start_guard,
    "with": ExitStack,
    "rival: one call for each owner": with_cold_slot_for_every_owner,
}


def run(seed: int) -> list[ResultRow]:
    """Return rows for before, during and after the outage; the upstreams come back cold."""
    rows = []
    for variant, policy in VARIANTS.items():
        with policy():
            load = _run_load(seed)
        before = load.summarise(NAME, f"{variant}: before", SETTLED_MS, OUT_MS)
        out = load.summarise(NAME, f"{variant}: out", OUT_MS, BACK_MS)
        back = load.summarise(NAME, f"{variant}: back", BACK_MS, END_MS)
        for row in (out, back):
            row.more["p99_ratio"] = (row.p99_ms or 0.0) / (before.p99_ms or 1.0)
        rows += [before, out, back]
    return rows


def _run_load(seed: int) -> LoadRun:
    load = LoadRun(SmallCluster.from_size(SIZE, seed), RATE_PER_S)
    run = load.cluster.run
    _set_delays(load)
    all_instances, remaining = list(run.instances), [
        n for n in run.instances if n.startswith("zuid")
    ]
    load.entries = all_instances
    load.send_until(OUT_MS)
    _publish_state(load, "out")
    # The load balancer sends to instances of the data centre until it notices the change.
    load.send_until(OUT_MS + NOTICE_MS)
    load.entries = remaining
    load.send_until(BACK_MS)
    for upstream in load.upstreams():
        if "-noord-" in upstream.upstream_id:
            upstream.restart(COLD_ANSWERS)
    _publish_state(load, "in")
    load.entries = all_instances
    load.send_until(END_MS)
    load.finish()
    return load


def _set_delays(load: LoadRun) -> None:
    run = load.cluster.run
    endpoints = [*run.instances, *(upstream.upstream_id for upstream in load.upstreams())]
    for instance in run.instances:
        for peer in endpoints:
            if ("noord" in instance) != ("noord" in peer):
                run.link.set_delay(instance, peer, ONE_WAY_DELAY_MS)
                run.link.set_delay(peer, instance, ONE_WAY_DELAY_MS)


def _publish_state(load: LoadRun, state: str) -> None:
    document = DataCentreDocument(name="noord", region="noord", state=state)
    key = document_key(DocumentKind.DATA_CENTRE, "noord")
    load.cluster.run.publish({key: encode(document)})
