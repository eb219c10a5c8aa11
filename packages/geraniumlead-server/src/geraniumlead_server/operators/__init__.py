"""Serve operators over HTTP."""

from geraniumlead_server.operators.app import build_operators_app

__all__ = ["build_operators_app"]
