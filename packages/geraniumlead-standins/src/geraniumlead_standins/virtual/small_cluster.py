"""Build a small cluster in virtual time: one service in a few data centres."""

from dataclasses import dataclass
from hashlib import sha256

from msgspec.json import encode

from geraniumlead.documents import (
    ContractDocument,
    DataCentreDocument,
    DocumentKind,
    IndexDocument,
    InstanceEntry,
    InstanceListDocument,
    ShardEntry,
    TrafficClass,
    UpstreamEntry,
    UpstreamListDocument,
    document_key,
)
from geraniumlead.settings import InstanceSettings, ListenSettings, TimingSettings
from geraniumlead_standins.virtual.virtual_run import VirtualRun

SERVICE = "ledger"
CUSTOMER = "acme"
CREDENTIAL = "secret-of-acme"


@dataclass(slots=True, frozen=True)
class ClusterSize:
    """The size of a small cluster; ``instances`` and ``replicas`` are per data centre."""

    data_centres: tuple[str, ...] = ("noord",)
    instances: int = 2
    shards: int = 4
    replicas: int = 2
    slots: int = 2
    connections: int = 25
    service_median_ms: float = 4.0


@dataclass(slots=True)
class SmallCluster:
    """A virtual run with its size and the settings of its instances by name."""

    run: VirtualRun
    size: ClusterSize
    settings: dict[str, InstanceSettings]

    @classmethod
    def from_size(
        cls,
        size: ClusterSize,
        seed: int,
        contract: ContractDocument | None = None,
        timing: TimingSettings | None = None,
        run: VirtualRun | None = None,
    ) -> "SmallCluster":
        """Publish the documents and start upstreams and instances, in ``run`` if it is given."""
        run = run or VirtualRun(seed)
        run.publish({key: encode(value) for key, value in _build_documents(size, contract).items()})
        for entry, shard in _list_upstreams(size):
            run.add_upstream(
                entry.address,
                entry.upstream_id,
                slots=entry.slots,
                median_ms=size.service_median_ms,
                holds={1: {shard}},
            )
        settings = {
            name: _build_settings(name, data_centre, timing)
            for name, data_centre in _list_instances(size)
        }
        for item in settings.values():
            run.start_instance(item)
        return cls(run, size, settings)


def default_contract() -> ContractDocument:
    """Return a contract with high limits, a lookup class and a booking class."""
    return ContractDocument(
        customer=CUSTOMER,
        credentials_sha256=[sha256(CREDENTIAL.encode()).hexdigest()],
        rate_per_s=100_000.0,
        burst_requests=10_000,
        concurrent_requests=10_000,
        classes=[
            TrafficClass(name="lookup", service=SERVICE, priority=0, deadline_ms=200),
            TrafficClass(
                name="booking", service=SERVICE, priority=0, deadline_ms=500, idempotent=False
            ),
        ],
    )


def _list_instances(size: ClusterSize) -> list[tuple[str, str]]:
    return [
        (f"{data_centre}-{number}", data_centre)
        for data_centre in size.data_centres
        for number in range(size.instances)
    ]


def _build_settings(name: str, data_centre: str, timing: TimingSettings | None) -> InstanceSettings:
    return InstanceSettings(
        instance_id=name,
        data_centre=data_centre,
        listen=ListenSettings(callers="127.0.0.1:1", operators="127.0.0.1:2", peers="127.0.0.1:3"),
        platform_addresses=["127.0.0.1:4"],
        timing=timing or TimingSettings(list_lag_ms=300.0),
    )


def _list_upstreams(size: ClusterSize) -> list[tuple[UpstreamEntry, int]]:
    listed = []
    for data_centre_number, data_centre in enumerate(size.data_centres):
        for number in range(size.shards * size.replicas):
            entry = UpstreamEntry(
                upstream_id=f"{SERVICE}-{data_centre}-{number}",
                service=SERVICE,
                address=f"10.0.{data_centre_number}.1:{20_000 + number}",
                slots=size.slots,
                connections=size.connections,
            )
            listed.append((entry, number % size.shards))
    return listed


def _build_documents(size: ClusterSize, contract: ContractDocument | None) -> dict[str, object]:
    contract = contract or default_contract()
    documents: dict[str, object] = {
        document_key(DocumentKind.CONTRACT, contract.customer): contract
    }
    upstreams = _list_upstreams(size)
    for data_centre in size.data_centres:
        prefix = f"{SERVICE}-{data_centre}-"
        entries = [entry for entry, _ in upstreams if entry.upstream_id.startswith(prefix)]
        instances = [
            InstanceEntry(instance_id=name, peer_address="10.0.0.1:1")
            for name, instance_data_centre in _list_instances(size)
            if instance_data_centre == data_centre
        ]
        documents[document_key(DocumentKind.DATA_CENTRE, data_centre)] = DataCentreDocument(
            name=data_centre, region=data_centre
        )
        documents[document_key(DocumentKind.UPSTREAM_LIST, data_centre)] = UpstreamListDocument(
            data_centre=data_centre, upstreams=entries
        )
        documents[document_key(DocumentKind.INSTANCE_LIST, data_centre)] = InstanceListDocument(
            data_centre=data_centre, instances=instances
        )
    documents[document_key(DocumentKind.INDEX, SERVICE, "1")] = build_index(size, 1)
    return documents


def build_index(size: ClusterSize, version: int) -> IndexDocument:
    """Return an index version of which every data centre holds all shards."""
    upstreams = _list_upstreams(size)
    return IndexDocument(
        service=SERVICE,
        version=version,
        shards=[
            ShardEntry(
                shard=shard,
                replicas=[entry.upstream_id for entry, held in upstreams if held == shard],
            )
            for shard in range(size.shards)
        ],
    )
