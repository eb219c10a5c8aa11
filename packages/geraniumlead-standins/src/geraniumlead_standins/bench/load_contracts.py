"""Build the contracts, sizes and capacity that the load patterns share."""

from math import exp

from geraniumlead.documents import ContractDocument, TrafficClass
from geraniumlead_standins.virtual.small_cluster import SERVICE, ClusterSize

SIZE = ClusterSize(instances=2, shards=4, replicas=2, slots=2)
MEDIAN_MS = 4.0
SIGMA = 0.4
ROUND_TRIP_MS = 0.55
"""Mean time on the link to and back, for which a slot's share of an instance stands empty."""

CAPACITY_PER_S = (
    1_000.0 * SIZE.replicas * SIZE.slots / (MEDIAN_MS * exp(SIGMA * SIGMA / 2.0) + ROUND_TRIP_MS)
)
"""Requests to all shards that the slots can serve; worked out, the rows are measured."""


def build_load_contract(customer: str = "acme", **changes) -> ContractDocument:
    """Return a contract of four classes whose limits bind nothing."""
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
