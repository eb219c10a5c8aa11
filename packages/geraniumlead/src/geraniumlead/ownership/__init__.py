"""The instances that own each upstream, computed from published data alone."""

from geraniumlead.ownership.owners import OwnerTable

__all__ = ["OwnerTable"]
