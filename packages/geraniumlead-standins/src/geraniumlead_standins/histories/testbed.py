from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from dataclasses import replace as replace_size
from itertools import count
from random import Random

from msgspec.json import encode
from msgspec.structs import replace

from geraniumlead.documents import (
    DataCentreDocument,
    DocumentKind,
    IndexDocument,
    ShardEntry,
    UpstreamEntry,
    UpstreamListDocument,
    document_key,
)
from geraniumlead.events import StopRequested
from geraniumlead_standins.histories.balancer import Balancer
from geraniumlead_standins.histories.operation import Operation
from geraniumlead_standins.histories.recorded_run import FAULTS, RecordedRun
from geraniumlead_standins.histories.simulated_callers import SimulatedCallers, build_operation
from geraniumlead_standins.history.checks.cold_load import WHILE_AWAY
from geraniumlead_standins.virtual.small_cluster import (
    SERVICE,
    ClusterSize,
    SmallCluster,
    build_index,
    default_contract,
)

NOORD, ZUID = "noord", "zuid"
SIZE = ClusterSize(data_centres=(NOORD, ZUID), instances=2, shards=3, replicas=2)

SINGLE_OWNER_CONNECTIONS = 7
"""Connections to an upstream that suffice for one owner only, so that half of the subqueries go
through a peer."""


COLD_ANSWERS = 12
CONTRACT = replace(default_contract(), concurrent_requests=24)


@dataclass(slots=True)
class Testbed:
    """A running cluster of two data centres with callers.

    Its methods change it as operators and the platform do.
    """

    run: RecordedRun
    cluster: SmallCluster
    callers: SimulatedCallers
    random: Random
    returns_cold: bool = False
    has_one_owner: bool = False
    operation_numbers: Iterator[int] = field(default_factory=lambda: count(10_000))

    @classmethod
    def from_seed(cls, seed: int) -> "Testbed":
        """Start the cluster and its callers; all randomness comes from the seed."""
        run = RecordedRun(seed)
        has_one_owner = seed % 2 == 1
        size = replace_size(SIZE, connections=SINGLE_OWNER_CONNECTIONS) if has_one_owner else SIZE
        cluster = SmallCluster.from_size(size, seed, CONTRACT, run=run)
        callers = SimulatedCallers(run, Balancer(run, Random(f"{seed}/b")), Random(f"{seed}/c"))
        return cls(run, cluster, callers, Random(f"{seed}/s"), has_one_owner=has_one_owner)

    def schedule(self, time_ms: float, callback: Callable[[], None]) -> None:
        """Run a callback at a virtual time."""
        self.run.queue.add(time_ms, callback)

    @property
    def instance_names(self) -> list[str]:
        """Return the names of all instances."""
        return sorted(self.cluster.settings)

    def instances_in(self, data_centre: str) -> set[str]:
        """Return the instances of a data centre."""
        return {name for name in self.instance_names if name.startswith(data_centre)}

    def upstream_ids(self, data_centre: str = "") -> list[str]:
        """Return the upstreams of a data centre, or all."""
        found = [upstream.upstream_id for upstream in self.run.upstreams.values()]
        return sorted(name for name in found if f"-{data_centre}" in name)

    def publish(self, kind: DocumentKind, *parts: str, document: object | None) -> None:
        """Publish a document, or delete it."""
        value = None if document is None else encode(document)
        self.run.publish({document_key(kind, *parts): value})

    def set_data_centre_state(self, name: str, state: str) -> None:
        """Publish the state of a data centre, ``in`` or ``out``."""
        document = DataCentreDocument(name=name, region=name, state=state)
        self.publish(DocumentKind.DATA_CENTRE, name, document=document)

    def bring_back(self, name: str) -> None:
        """Return a data centre to service.

        With ``returns_cold``, its upstreams, which were idle, have turned cold meanwhile.
        """
        if self.returns_cold:
            for upstream_id in self.upstream_ids(name):
                upstream = self.run.find_upstream(upstream_id)
                upstream.turn_cold(COLD_ANSWERS, reason=WHILE_AWAY)
        self.set_data_centre_state(name, "in")

    def set_upstream_states(self, data_centre: str, leaving: set[str]) -> None:
        """Publish a data centre's upstreams, with those in ``leaving`` as leaving."""
        entries = [
            UpstreamEntry(
                upstream_id=upstream.upstream_id,
                service=SERVICE,
                address=address,
                slots=SIZE.slots,
                connections=self.cluster.size.connections,
                state="leaving" if upstream.upstream_id in leaving else "serving",
            )
            for address, upstream in self.run.upstreams.items()
            if f"-{data_centre}-" in upstream.upstream_id
        ]
        document = UpstreamListDocument(data_centre=data_centre, upstreams=entries)
        self.publish(DocumentKind.UPSTREAM_LIST, data_centre, document=document)

    def change_contract(self, weight: int) -> None:
        """Publish the customer's contract with another weight."""
        contract = replace(CONTRACT, weight=weight)
        self.publish(DocumentKind.CONTRACT, contract.customer, document=contract)

    def repartition(self, version: int, shard_count: int, published_after_ms: float = 0.0) -> None:
        """Distribute the data over the upstreams again, as a new index version.

        The upstreams hold it at once; its document is published after
        ``published_after_ms``.
        """
        names = {data_centre: self.upstream_ids(data_centre) for data_centre in SIZE.data_centres}
        shards = []
        for shard in range(shard_count):
            replicas = [
                ids[(shard * SIZE.replicas + copy) % len(ids)]
                for ids in names.values()
                for copy in range(SIZE.replicas)
            ]
            shards.append(ShardEntry(shard=shard, replicas=replicas))
            for upstream_id in replicas:
                self.run.find_upstream(upstream_id).holds.setdefault(version, set()).add(shard)
        document = IndexDocument(service=SERVICE, version=version, shards=shards)
        self.schedule(
            self.run.now_ms + published_after_ms,
            lambda: self.publish(DocumentKind.INDEX, SERVICE, str(version), document=document),
        )

    def draw_operation(self, text: str = "x") -> Operation:
        """Return a random operation with its own token."""
        return build_operation(next(self.operation_numbers), self.random, text)

    def burst(self, text: str, size: int) -> None:
        """Start many operations at once; ``text`` is put into their queries."""
        for _ in range(size):
            self.callers.start(self.draw_operation(text))

    def retire(self, version: int) -> None:
        """Drop an index version from every upstream; its document is published 500 ms later."""
        for upstream in self.run.upstreams.values():
            upstream.holds.pop(version, None)
        document = replace(build_index(SIZE, 1), version=version, state="retired")
        self.schedule(
            self.run.now_ms + 500.0,
            lambda: self.publish(DocumentKind.INDEX, SERVICE, str(version), document=document),
        )

    def replace_instance(self, name: str) -> None:
        """Start a new process of an instance whose process has ended."""
        if not self.run.instances[name].is_alive:
            self.run.start_instance(self.cluster.settings[name])

    def stop_gracefully(self, name: str) -> None:
        """Request a graceful stop of a process, as operators do."""
        host = self.run.instances[name]
        if host.is_alive and not host.is_frozen:
            self.run.recorder.record(FAULTS, "stop_asked", instance=name)
            self.run.deliver(name, StopRequested())

    def cut_between(self, group: set[str], others: set[str]) -> None:
        """Cut both directions between two groups of endpoints."""
        self.run.cut({pair for a in group for b in others for pair in ((a, b), (b, a))})
