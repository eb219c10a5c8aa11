"""Van Dijk's deployment: member lookup, statement, archive and booking."""

from geraniumlead.documents import ContractDocument, TrafficClass
from geraniumlead_standins.deployments.credentials import credential_digest, example_credential
from geraniumlead_standins.deployments.deployment import Deployment
from geraniumlead_standins.deployments.service_size import ServiceSize

COORDINATORS = "coordinators"
ARCHIVE_READERS = "archive-readers"


def van_dijk() -> Deployment:
    """Return the deployment at its current size."""
    return Deployment(
        name="van-dijk",
        instances={"noord": 3, "midden": 2, "zuid": 2},
        services=(
            ServiceSize("member-lookup", 20, 2, 2, 25, 6.0),
            ServiceSize("statement", 30, 2, 2, 25, 6.0),
            ServiceSize("archive", 10, 1, 2, 100, 1.0, median_ms=20.0),
            ServiceSize("booking", 5, 1, 2, 100, 1.0, median_ms=8.0),
        ),
        contracts=(_build_coordinators_contract(), _build_archive_readers_contract()),
        credentials={name: example_credential(name) for name in (COORDINATORS, ARCHIVE_READERS)},
        region_delay_ms=20.0,
        client_delay_ms=1.0,
    )


def _build_coordinators_contract() -> ContractDocument:
    return ContractDocument(
        customer=COORDINATORS,
        credentials_sha256=[credential_digest(example_credential(COORDINATORS))],
        rate_per_s=400.0,
        burst_requests=200,
        concurrent_requests=300,
        weight=8,
        classes=[
            TrafficClass(
                name="member-lookup",
                service="member-lookup",
                priority=0,
                deadline_ms=400,
                least_coverage=0.9,
                hedge_share=0.05,
            ),
            TrafficClass(
                name="booking", service="booking", priority=0, deadline_ms=2000, idempotent=False
            ),
            TrafficClass(
                name="statement", service="statement", priority=2, deadline_ms=1500, retry_share=0.2
            ),
        ],
    )


def _build_archive_readers_contract() -> ContractDocument:
    return ContractDocument(
        customer=ARCHIVE_READERS,
        credentials_sha256=[credential_digest(example_credential(ARCHIVE_READERS))],
        rate_per_s=40.0,
        burst_requests=40,
        concurrent_requests=40,
        weight=1,
        classes=[
            TrafficClass(
                name="archive",
                service="archive",
                priority=6,
                deadline_ms=5000,
                hedge_share=0.0,
                long_running=True,
            )
        ],
    )
