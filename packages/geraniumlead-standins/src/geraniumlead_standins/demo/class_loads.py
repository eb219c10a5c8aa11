"""The load that the callers of a deployment send in a demo."""

from geraniumlead_standins.deployments import Deployment
from geraniumlead_standins.load.load_plan import ClassLoad

REQUESTS_PER_S = {
    "member-lookup": 30.0,
    "statement": 10.0,
    "archive": 3.0,
    "booking": 10.0,
    "dispatch": 30.0,
    "assignment": 10.0,
    "driver-tablet": 10.0,
    "parent-portal": 20.0,
    "district-reporting": 2.0,
}
"""Rates at which a small machine stays mostly idle; ``--load-factor`` scales them."""

REPEAT_SHARE = 0.3


def build_class_loads(
    deployment: Deployment, factor: float, distinct_queries: int
) -> list[ClassLoad]:
    """Return a load for each class of each contract."""
    return [
        ClassLoad(
            customer=contract.customer,
            credential=deployment.credentials[contract.customer],
            class_name=traffic_class.name,
            rate_per_s=REQUESTS_PER_S[traffic_class.name] * factor,
            deadline_ms=traffic_class.deadline_ms,
            ticketed=not traffic_class.idempotent,
            distinct_queries=distinct_queries,
            repeat_share=0.0 if traffic_class.idempotent else REPEAT_SHARE,
        )
        for contract in deployment.contracts
        for traffic_class in contract.classes
    ]
