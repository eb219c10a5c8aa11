"""The HTTP interface for operators."""

from geraniumlead_server.operators.app import build_operators_app
from geraniumlead_server.operators.recent_requests import RecentRequests

__all__ = ["RecentRequests", "build_operators_app"]
