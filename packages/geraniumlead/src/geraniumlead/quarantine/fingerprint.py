"""Identify requests that do the same."""

from msgspec import DecodeError
from msgspec.json import decode, encode
from xxhash import xxh3_64_intdigest


def compute_fingerprint(customer: str, class_name: str, query: bytes) -> int:
    """Return a hash of contract, class and normalised query, the same on every instance.

    The query is normalised by its JSON value: spaces and the order of members don't count.
    """
    try:
        normalised = encode(decode(query), order="sorted")
    except DecodeError:
        normalised = query
    return xxh3_64_intdigest(f"{customer}\0{class_name}\0".encode() + normalised)
