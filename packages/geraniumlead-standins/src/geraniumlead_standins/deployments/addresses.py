"""Give every process and server of a deployment an address."""

from dataclasses import dataclass

from geraniumlead_standins.deployments.deployment import Deployment

HOST = "127.0.0.1"
PORTS_PER_INSTANCE = 3


@dataclass(slots=True, frozen=True)
class AddressPlan:
    """Map names to loopback addresses, in one unbroken range of ports.

    ``instances`` maps an instance to its callers', operators' and peers' addresses;
    ``controls`` maps a data centre to where faults of its upstreams are set.
    """

    platform: str
    instances: dict[str, tuple[str, str, str]]
    upstreams: dict[str, str]
    controls: dict[str, str]
    port_count: int

    @classmethod
    def from_base_port(cls, deployment: Deployment, base_port: int) -> "AddressPlan":
        """Number the ports from ``base_port`` on."""
        ports = iter(range(base_port, 65_536))

        def take() -> str:
            return f"{HOST}:{next(ports)}"

        platform = take()
        instances = {
            instance_id: (take(), take(), take())
            for name in deployment.data_centres
            for instance_id in deployment.instance_ids(name)
        }
        controls = {name: take() for name in deployment.data_centres}
        upstreams = {
            upstream_id: take()
            for name in deployment.data_centres
            for service in deployment.services
            for shard in range(service.shards)
            for upstream_id in deployment.upstream_ids(name, service, shard)
        }
        count = 1 + PORTS_PER_INSTANCE * len(instances) + len(controls) + len(upstreams)
        return cls(platform, instances, upstreams, controls, count)
