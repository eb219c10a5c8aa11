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

CREDENTIAL = "credential-of-the-soak"
CUSTOMER = "acme"
SERVICE = "ledger"
HOST = "127.0.0.1"
DATA_CENTRES = ("noord", "zuid")
INSTANCES, SHARDS, REPLICAS = 2, 3, 2
SLOTS, CONNECTIONS = 4, 25


@dataclass(slots=True, frozen=True)
class Layout:
    """The files, processes and ports of a soak with two data centres."""

    folder: Path
    first_port: int

    @property
    def platform(self) -> str:
        """Return the address of the platform."""
        return f"{HOST}:{self.first_port}"

    @property
    def instances(self) -> list[str]:
        """Return the names of all instances."""
        return [
            f"{data_centre}-{number}" for data_centre in DATA_CENTRES for number in range(INSTANCES)
        ]

    def address_of(self, instance: str, role: int) -> str:
        """Return an instance's address for callers (0), operators (1) or peers (2)."""
        return f"{HOST}:{self.first_port + 10 + 10 * role + self.instances.index(instance)}"

    def control_address_of(self, data_centre: str) -> str:
        """Return the address at which faults of a data centre's upstreams are set."""
        return f"{HOST}:{self.first_port + 50 + DATA_CENTRES.index(data_centre)}"

    def upstream_ids(self, data_centre: str) -> list[str]:
        """Return the upstreams of a data centre."""
        return [f"{SERVICE}-{data_centre}-{number}" for number in range(SHARDS * REPLICAS)]

    def history_file(self, name: str) -> Path:
        """Return the file to which a process writes its part of the history."""
        return self.folder / f"{name}.history"

    def write_files(self, seed: int) -> dict[str, object]:
        """Write settings, plans and documents; return the documents by key."""
        documents = {key_of_document(document): document for document in self._documents()}
        (self.folder / "documents.json").write_bytes(encode(documents))
        for name in self.instances:
            (self.folder / f"{name}.json").write_bytes(encode(self._settings(name)))
        for data_centre in DATA_CENTRES:
            plan = self._plan(data_centre, seed)
            (self.folder / f"upstreams-{data_centre}.json").write_bytes(encode(plan))
        return documents

    def _upstream_address(self, data_centre: str, number: int) -> str:
        base = self.first_port + 60 + 20 * DATA_CENTRES.index(data_centre)
        return f"{HOST}:{base + number}"

    def _documents(self) -> list:
        digest = sha256(CREDENTIAL.encode()).hexdigest()
        contract = ContractDocument(
            customer=CUSTOMER,
            credentials_sha256=[digest],
            rate_per_s=10_000.0,
            burst_requests=10_000,
            concurrent_requests=1_000,
            classes=[
                TrafficClass(
                    name="lookup",
                    service=SERVICE,
                    priority=0,
                    deadline_ms=1_500,
                    least_coverage=0.3,
                ),
                TrafficClass(
                    name="booking",
                    service=SERVICE,
                    priority=0,
                    deadline_ms=1_500,
                    idempotent=False,
                ),
            ],
        )
        documents: list = [contract, self._index()]
        for data_centre in DATA_CENTRES:
            documents.append(DataCentreDocument(name=data_centre, region=data_centre))
            documents.append(self._upstream_list(data_centre))
            entries = [
                InstanceEntry(instance_id=name, peer_address=self.address_of(name, 2))
                for name in self.instances
                if name.startswith(data_centre)
            ]
            documents.append(InstanceListDocument(data_centre=data_centre, instances=entries))
        return documents

    def _index(self) -> IndexDocument:
        shards = [
            ShardEntry(
                shard=shard,
                replicas=[
                    self.upstream_ids(data_centre)[shard + copy * SHARDS]
                    for data_centre in DATA_CENTRES
                    for copy in range(REPLICAS)
                ],
            )
            for shard in range(SHARDS)
        ]
        return IndexDocument(service=SERVICE, version=1, shards=shards)

    def _upstream_list(self, data_centre: str) -> UpstreamListDocument:
        entries = [
            UpstreamEntry(
                upstream_id=name,
                service=SERVICE,
                address=self._upstream_address(data_centre, number),
                slots=SLOTS,
                connections=CONNECTIONS,
            )
            for number, name in enumerate(self.upstream_ids(data_centre))
        ]
        return UpstreamListDocument(data_centre=data_centre, upstreams=entries)

    def _settings(self, name: str) -> InstanceSettings:
        return InstanceSettings(
            instance_id=name,
            data_centre=name.rsplit("-", 1)[0],
            listen=ListenSettings(
                callers=self.address_of(name, 0),
                operators=self.address_of(name, 1),
                peers=self.address_of(name, 2),
            ),
            platform_addresses=[self.platform],
        )

    def _plan(self, data_centre: str, seed: int) -> ProcessPlan:
        servers = [
            ServerPlan(
                upstream_id=name,
                address=self._upstream_address(data_centre, number),
                service=SERVICE,
                slots=SLOTS,
                connections=CONNECTIONS,
                holds={"1": [number % SHARDS]},
            )
            for number, name in enumerate(self.upstream_ids(data_centre))
        ]
        return ProcessPlan(
            seed=seed,
            control=self.control_address_of(data_centre),
            servers=servers,
            history=str(self.history_file(f"upstreams-{data_centre}")),
        )
