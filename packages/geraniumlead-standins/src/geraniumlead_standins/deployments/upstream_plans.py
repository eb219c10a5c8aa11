"""The plans of the upstream stand-ins, one process for each data centre."""

from geraniumlead_standins.deployments.addresses import AddressPlan
from geraniumlead_standins.deployments.deployment import Deployment
from geraniumlead_standins.deployments.documents import FIRST_VERSION
from geraniumlead_standins.upstream.server_plan import ProcessPlan, ServerPlan


def build_upstream_plan(
    deployment: Deployment, addresses: AddressPlan, data_centre: str, seed: int, history: str
) -> ProcessPlan:
    """Return the plan of the process that stands in for a data centre's upstreams."""
    servers = [
        ServerPlan(
            upstream_id=upstream_id,
            address=addresses.upstreams[upstream_id],
            service=service.name,
            slots=service.slots,
            connections=service.connections,
            median_ms=service.median_ms,
            sigma=service.sigma,
            holds={str(FIRST_VERSION): [shard]},
        )
        for service in deployment.services
        for shard in range(service.shards)
        for upstream_id in deployment.upstream_ids(data_centre, service, shard)
    ]
    return ProcessPlan(
        seed=seed, control=addresses.controls[data_centre], servers=servers, history=history
    )
