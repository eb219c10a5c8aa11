"""Decide which instances own an upstream, from published data alone."""

from geraniumlead.ownership.owners import OwnerTable

__all__ = ["OwnerTable"]
