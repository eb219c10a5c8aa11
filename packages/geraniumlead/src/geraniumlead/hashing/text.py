from xxhash import xxh3_64_intdigest


def hash_text(text: str) -> int:
    """Return a 64-bit hash that is the same in every process and on every instance."""
    return xxh3_64_intdigest(text.encode())
