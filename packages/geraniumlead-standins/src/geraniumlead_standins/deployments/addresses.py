from dataclasses import dataclass

from geraniumlead_standins.deployments.deployment import Deployment

HOST = "127.0.0.1"
PORTS_PER_INSTANCE = 3


@dataclass(slots=True, frozen=True)
class AddressPlan:
    """The loopback addresses of a deployment's processes and servers, in one range of ports.

    ``instances`` maps an instance to its addresses for callers, operators and peers.
    ``controls`` maps a data centre to the address at which faults of its upstreams are set.
    """

    platform: str
    instances: dict[str, tuple[str, str, str]]
    upstreams: dict[str, str]
    controls: dict[str, str]
    port_count: int

    @classmethod
    def from_base_port(cls, deployment: Deployment, base_port: int) -> "AddressPlan":
        """Assign consecutive ports from ``base_port`` on."""
        ports = iter(range(base_port, 65_536))

        def next_address() -> str:
            return f"{HOST}:{next(ports)}"

        platform = next_address()
        instances = {
            instance_id: (next_address(), next_address(), next_address())
            for name in deployment.data_centres
            for instance_id in deployment.instance_ids(name)
        }
        controls = {name: next_address() for name in deployment.data_centres}
        upstreams = {
            upstream_id: next_address()
            for name in deployment.data_centres
            for service in deployment.services
            for shard in range(service.shards)
            for upstream_id in deployment.upstream_ids(name, service, shard)
        }
        count = 1 + PORTS_PER_INSTANCE * len(instances) + len(controls) + len(upstreams)
        return cls(platform, instances, upstreams, controls, count)
