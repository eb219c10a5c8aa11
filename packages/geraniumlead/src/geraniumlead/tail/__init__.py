"""Detection of late subqueries from their latency distribution."""

from geraniumlead.tail.latency_window import LatencyWindow
from geraniumlead.tail.straggler_detector import StragglerDetector

__all__ = ["LatencyWindow", "StragglerDetector"]
