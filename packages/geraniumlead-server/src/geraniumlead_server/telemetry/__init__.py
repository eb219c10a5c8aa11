"""Measure what callers receive, by contract and class."""

from geraniumlead_server.telemetry.forwarding_metrics import ForwardingMetrics
from geraniumlead_server.telemetry.label_book import LabelBook
from geraniumlead_server.telemetry.metrics import RequestMetrics
from geraniumlead_server.telemetry.page import MetricsPage

__all__ = ["ForwardingMetrics", "LabelBook", "MetricsPage", "RequestMetrics"]
