"""Pinewick's deployment: dispatch, driver tablet, parent portal and district reporting."""

from geraniumlead.documents import ContractDocument, TrafficClass
from geraniumlead_standins.deployments.credentials import credential_digest, example_credential
from geraniumlead_standins.deployments.deployment import Deployment
from geraniumlead_standins.deployments.service_size import ServiceSize

DISPATCH = "dispatch"
PARENTS = "parents"
DISTRICTS = "districts"


def pinewick() -> Deployment:
    """Return the deployment at its current size."""
    return Deployment(
        name="pinewick",
        instances={"mass-east": 3, "ct-valley": 2, "nh-seacoast": 2},
        services=(
            ServiceSize("dispatch", 20, 2, 3, 30, 6.0),
            ServiceSize("driver-tablet", 30, 2, 3, 30, 6.0),
            ServiceSize("parent-portal", 5, 1, 6, 50, 1.0),
            ServiceSize("district-reporting", 3, 1, 6, 50, 1.0, median_ms=30.0),
        ),
        contracts=(
            _build_dispatch_contract(),
            _build_parents_contract(),
            _build_districts_contract(),
        ),
        credentials={name: example_credential(name) for name in (DISPATCH, PARENTS, DISTRICTS)},
        region_delay_ms=8.0,
        client_delay_ms=3.0,
    )


def _build_dispatch_contract() -> ContractDocument:
    return ContractDocument(
        customer=DISPATCH,
        credentials_sha256=[credential_digest(example_credential(DISPATCH))],
        rate_per_s=300.0,
        burst_requests=300,
        concurrent_requests=300,
        weight=8,
        classes=[
            TrafficClass(
                name="dispatch",
                service="dispatch",
                priority=0,
                deadline_ms=250,
                least_coverage=0.9,
                waits_for_all=False,
                hedge_share=0.05,
            ),
            TrafficClass(
                name="assignment",
                service="dispatch",
                priority=0,
                deadline_ms=2000,
                idempotent=False,
            ),
            TrafficClass(
                name="driver-tablet",
                service="driver-tablet",
                priority=1,
                deadline_ms=500,
                least_coverage=0.9,
                waits_for_all=False,
            ),
        ],
    )


def _build_parents_contract() -> ContractDocument:
    return ContractDocument(
        customer=PARENTS,
        credentials_sha256=[credential_digest(example_credential(PARENTS))],
        rate_per_s=300.0,
        burst_requests=600,
        concurrent_requests=200,
        weight=3,
        classes=[
            TrafficClass(
                name="parent-portal",
                service="parent-portal",
                priority=3,
                deadline_ms=1000,
                least_coverage=0.8,
                waits_for_all=False,
            )
        ],
    )


def _build_districts_contract() -> ContractDocument:
    return ContractDocument(
        customer=DISTRICTS,
        credentials_sha256=[credential_digest(example_credential(DISTRICTS))],
        rate_per_s=10.0,
        burst_requests=20,
        concurrent_requests=10,
        weight=1,
        classes=[
            TrafficClass(
                name="district-reporting",
                service="district-reporting",
                priority=7,
                deadline_ms=30_000,
                hedge_share=0.0,
                long_running=True,
            )
        ],
    )
