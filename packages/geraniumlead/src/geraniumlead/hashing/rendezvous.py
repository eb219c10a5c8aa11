"""Rendezvous hashing, or highest random weight (Thaler and Ravishankar, 1998)."""

from collections.abc import Iterable

from geraniumlead.hashing.text import hash_text


def rank_by_rendezvous(subject: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` in the order in which they are responsible for ``subject``.

    Every reader of the same list computes the same order, and removing a name reassigns only
    the subjects that it was responsible for.
    """
    return sorted(names, key=lambda name: (-hash_text(f"{subject}\0{name}"), name))
