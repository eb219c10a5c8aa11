"""The contract, the cluster size and its capacity that load patterns share."""

from math import exp

from geraniumlead.documents import ContractDocument, TrafficClass
from geraniumlead_standins.virtual.small_cluster import SERVICE, ClusterSize

SIZE = ClusterSize(instances=2, shards=4, replicas=2, slots=2)
MEDIAN_MS = 4.0
SIGMA = 0.4
ROUND_TRIP_MS = 0.55
"""Mean round trip on the link; a slot that an instance holds is idle for that long per request."""

CAPACITY_PER_S = (
    1_000.0 * SIZE.replicas * SIZE.slots / (MEDIAN_MS * exp(SIGMA * SIGMA / 2.0) + ROUND_TRIP_MS)
)
"""Computed rate of requests to all shards that the slots can serve."""


def build_load_contract(customer: str = "acme", **changes) -> ContractDocument:
    """Return a contract of four classes with limits too high to take effect."""
    values = {
        "customer": customer,
        "credentials_sha256": [customer.encode().hex().zfill(64)],
        "rate_per_s": 1_000_000.0,
        "burst_requests": 1_000_000,
        "concurrent_requests": 1_000_000,
        "classes": [
            TrafficClass(name="lookup", service=SERVICE, priority=0, deadline_ms=200),
            TrafficClass(name="statement", service=SERVICE, priority=1, deadline_ms=500),
            TrafficClass(name="audit", service=SERVICE, priority=5, deadline_ms=5_000),
            TrafficClass(
                name="archive",
                service=SERVICE,
                priority=1,
                deadline_ms=10_000,
                long_running=True,
            ),
        ],
    }
    return ContractDocument(**(values | changes))
