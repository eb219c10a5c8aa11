"""The HTTP interface for callers."""

from geraniumlead_server.callers.app import build_callers_app

__all__ = ["build_callers_app"]
