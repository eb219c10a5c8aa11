"""Decide which instances own an upstream, from published data alone."""

from geraniumlead.ownership.owners import OwnerTable
from geraniumlead.ownership.rendezvous import rank_by_rendezvous

__all__ = ["OwnerTable", "rank_by_rendezvous"]
