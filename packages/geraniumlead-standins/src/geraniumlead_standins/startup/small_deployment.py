"""A deployment of one instance and one service that allows many open requests."""

from geraniumlead.documents import ContractDocument, TrafficClass
from geraniumlead_standins.deployments import Deployment, ServiceSize
from geraniumlead_standins.deployments.credentials import credential_digest, example_credential

CUSTOMER = "many"
CLASS_NAME = "slow"
DEADLINE_MS = 60_000


def build_small_deployment(shards: int, slots: int, requests: int) -> Deployment:
    """Return a deployment whose only contract allows ten times ``requests`` at once."""
    contract = ContractDocument(
        customer=CUSTOMER,
        credentials_sha256=[credential_digest(example_credential(CUSTOMER))],
        rate_per_s=100_000.0,
        burst_requests=10 * requests,
        concurrent_requests=10 * requests,
        classes=[
            TrafficClass(
                name=CLASS_NAME,
                service="slow",
                priority=0,
                deadline_ms=DEADLINE_MS,
                hedge_share=0.0,
            )
        ],
    )
    return Deployment(
        name="small",
        instances={"noord": 1},
        services=(ServiceSize("slow", shards, 1, slots, slots, 1.0),),
        contracts=(contract,),
        credentials={CUSTOMER: example_credential(CUSTOMER)},
        region_delay_ms=0.0,
        client_delay_ms=0.0,
    )
