"""Hash text, and rank names by it, the same way on every instance."""

from geraniumlead.hashing.rendezvous import rank_by_rendezvous
from geraniumlead.hashing.text import hash_text

__all__ = ["hash_text", "rank_by_rendezvous"]
