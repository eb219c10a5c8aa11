"""Decide whether an instance may act on its view of the published documents."""

from geraniumlead.freshness.held_requests import HeldRequests
from geraniumlead.freshness.view_freshness import ViewFreshness

__all__ = ["HeldRequests", "ViewFreshness"]
