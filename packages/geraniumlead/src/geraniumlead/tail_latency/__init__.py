"""Detection of late subqueries from their latency distribution."""

from geraniumlead.tail_latency.latency_window import LatencyWindow
from geraniumlead.tail_latency.straggler_detector import StragglerDetector

__all__ = ["LatencyWindow", "StragglerDetector"]
