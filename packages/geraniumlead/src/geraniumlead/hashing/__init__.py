"""Hashing of text and rendezvous ranking, with the same results on every instance."""

from geraniumlead.hashing.rendezvous import rank_by_rendezvous
from geraniumlead.hashing.text import hash_text

__all__ = ["hash_text", "rank_by_rendezvous"]
