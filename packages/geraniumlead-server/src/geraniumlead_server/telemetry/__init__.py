"""Measure what callers receive, by contract and class."""

from geraniumlead_server.forwarding_telemetry.page import MetricsPage
from geraniumlead_server.telemetry.label_book import LabelBook
from geraniumlead_server.telemetry.metrics import RequestMetrics

__all__ = ["LabelBook", "MetricsPage", "RequestMetrics"]
