"""Decide when a subquery is late and what is done about it."""

from geraniumlead.tail.latency_window import LatencyWindow
from geraniumlead.tail.straggler_clock import StragglerClock

__all__ = ["LatencyWindow", "StragglerClock"]
