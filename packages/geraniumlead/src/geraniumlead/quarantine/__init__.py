"""Detect and refuse requests that crash their upstreams."""

from geraniumlead.quarantine.canary_plan import CanaryPlan
from geraniumlead.quarantine.canary_planner import CanaryPlanner
from geraniumlead.quarantine.fingerprint import compute_fingerprint
from geraniumlead.quarantine.quarantine_tracker import QuarantineTracker

__all__ = ["CanaryPlan", "CanaryPlanner", "QuarantineTracker", "compute_fingerprint"]
