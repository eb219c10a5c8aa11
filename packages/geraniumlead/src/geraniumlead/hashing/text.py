"""Hash text the same way on every instance."""

from xxhash import xxh3_64_intdigest


def hash_text(text: str) -> int:
    """Return a 64-bit hash that does not depend on the process."""
    return xxh3_64_intdigest(text.encode())
