"""Keep a request that crashes its upstreams from crashing them all."""

from geraniumlead.quarantine.canary_plan import CanaryPlan
from geraniumlead.quarantine.canary_planner import CanaryPlanner
from geraniumlead.quarantine.fingerprint import compute_fingerprint
from geraniumlead.quarantine.quarantine_book import QuarantineBook

__all__ = ["CanaryPlan", "CanaryPlanner", "QuarantineBook", "compute_fingerprint"]
