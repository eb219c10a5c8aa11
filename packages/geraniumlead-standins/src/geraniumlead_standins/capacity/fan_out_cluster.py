from dataclasses import dataclass
from hashlib import sha256
from pathlib import Path

from msgspec.json import encode

from geraniumlead.documents import (
    ContractDocument,
    DataCentreDocument,
    IndexDocument,
    InstanceEntry,
    InstanceListDocument,
    ShardEntry,
    TrafficClass,
    UpstreamEntry,
    UpstreamListDocument,
)
from geraniumlead.documents.decoding import key_of_document
from geraniumlead.settings import InstanceSettings, ListenSettings
from geraniumlead_standins.upstream.server_plan import ProcessPlan, ServerPlan

CREDENTIAL = "credential-of-the-bench"
DATA_CENTRE = "noord"
SERVICE = "lookup"
HOST = "127.0.0.1"


@dataclass(slots=True, frozen=True)
class FanOutCluster:
    """The addresses, sizes and files of a cluster of processes in one data centre."""

    folder: Path
    first_port: int
    shards: int
    instances: int = 1
    upstream_processes: int = 4
    connections: int = 60
    slots: int = 50
    median_ms: float = 4.0

    @property
    def platform_address(self) -> str:
        """Return the address on which the platform listens."""
        return f"{HOST}:{self.first_port}"

    @property
    def upstream_addresses(self) -> list[str]:
        """Return the addresses of the upstreams, one per shard."""
        return [f"{HOST}:{self.first_port + 100 + shard}" for shard in range(self.shards)]

    def callers_address(self, number: int) -> str:
        """Return the address on which an instance listens for callers."""
        return f"{HOST}:{self.first_port + 10 + number}"

    def operators_address(self, number: int) -> str:
        """Return the address on which an instance listens for operators."""
        return f"{HOST}:{self.first_port + 30 + number}"

    def write_files(self) -> None:
        """Write documents, addresses, settings and plans into the folder."""
        self.folder.mkdir(parents=True, exist_ok=True)
        documents = {key_of_document(document): document for document in self._documents()}
        (self.folder / "documents.json").write_bytes(encode(documents))
        (self.folder / "addresses.json").write_bytes(encode(self.upstream_addresses))
        for number in range(self.instances):
            path = self.folder / f"instance-{number}.json"
            path.write_bytes(encode(self._settings(number)))
        for number in range(self.upstream_processes):
            path = self.folder / f"upstreams-{number}.json"
            path.write_bytes(encode(self._plan(number)))

    def _peer_address(self, number: int) -> str:
        return f"{HOST}:{self.first_port + 50 + number}"

    def _documents(self) -> list:
        entries = [
            UpstreamEntry(
                upstream_id=f"lookup-{shard}",
                service=SERVICE,
                address=address,
                slots=self.slots,
                connections=self.connections,
            )
            for shard, address in enumerate(self.upstream_addresses)
        ]
        shards = [
            ShardEntry(shard=shard, replicas=[entry.upstream_id])
            for shard, entry in enumerate(entries)
        ]
        instances = [
            InstanceEntry(instance_id=f"noord-{number}", peer_address=self._peer_address(number))
            for number in range(self.instances)
        ]
        contract = ContractDocument(
            customer="bench",
            credentials_sha256=[sha256(CREDENTIAL.encode()).hexdigest()],
            rate_per_s=100_000.0,
            burst_requests=100_000,
            concurrent_requests=100_000,
            classes=[TrafficClass(name="lookup", service=SERVICE, priority=0, deadline_ms=5_000)],
        )
        return [
            contract,
            DataCentreDocument(name=DATA_CENTRE, region=DATA_CENTRE),
            UpstreamListDocument(data_centre=DATA_CENTRE, upstreams=entries),
            IndexDocument(service=SERVICE, version=1, shards=shards),
            InstanceListDocument(data_centre=DATA_CENTRE, instances=instances),
        ]

    def _settings(self, number: int) -> InstanceSettings:
        return InstanceSettings(
            instance_id=f"noord-{number}",
            data_centre=DATA_CENTRE,
            listen=ListenSettings(
                callers=self.callers_address(number),
                operators=self.operators_address(number),
                peers=self._peer_address(number),
            ),
            platform_addresses=[self.platform_address],
        )

    def _plan(self, number: int) -> ProcessPlan:
        servers = [
            ServerPlan(
                upstream_id=f"lookup-{shard}",
                address=address,
                service=SERVICE,
                slots=self.slots,
                connections=self.connections,
                median_ms=self.median_ms,
                holds={"1": [shard]},
            )
            for shard, address in enumerate(self.upstream_addresses)
            if shard % self.upstream_processes == number
        ]
        control = f"{HOST}:{self.first_port + 70 + number}"
        return ProcessPlan(seed=number, control=control, servers=servers)
