from dataclasses import dataclass, replace

from geraniumlead.documents import ContractDocument
from geraniumlead_standins.deployments.service_size import ServiceSize


@dataclass(slots=True, frozen=True)
class Deployment:
    """The sizes and contracts of one example deployment.

    ``instances`` maps a data centre to its number of entry instances. Every data centre is a
    separate region. ``credentials`` maps a customer to the token of its example contract.
    """

    name: str
    instances: dict[str, int]
    services: tuple[ServiceSize, ...]
    contracts: tuple[ContractDocument, ...]
    credentials: dict[str, str]
    region_delay_ms: float
    client_delay_ms: float

    @property
    def data_centres(self) -> tuple[str, ...]:
        """Return the names of the data centres."""
        return tuple(self.instances)

    def with_data_centres(self, count: int) -> "Deployment":
        """Return a copy that has only the first ``count`` data centres."""
        kept_instances = dict(list(self.instances.items())[:count])
        return replace(self, instances=kept_instances)

    def instance_ids(self, data_centre: str) -> list[str]:
        """Return the ids of a data centre's entry instances."""
        return [f"{data_centre}-{number}" for number in range(1, self.instances[data_centre] + 1)]

    def upstream_ids(self, data_centre: str, service: ServiceSize, shard: int) -> list[str]:
        """Return the ids of the upstreams that hold a shard in a data centre."""
        return [
            f"{data_centre}-{service.name}-{shard}-{replica_number}"
            for replica_number in range(1, service.servers_per_shard + 1)
        ]
