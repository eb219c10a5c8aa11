"""Metrics of requests by contract and class, and of the instance."""

from geraniumlead_server.forwarding_telemetry.page import MetricsPage
from geraniumlead_server.telemetry.label_registry import LabelRegistry
from geraniumlead_server.telemetry.metrics import RequestMetrics

__all__ = ["LabelRegistry", "MetricsPage", "RequestMetrics"]
