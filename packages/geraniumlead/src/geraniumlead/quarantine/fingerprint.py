from msgspec import DecodeError
from msgspec.json import decode, encode
from xxhash import xxh3_64_intdigest


def compute_fingerprint(customer: str, class_name: str, query: bytes) -> int:
    """Return a hash of customer, class and normalised query that is the same on every instance.

    The query is normalised as JSON, so whitespace and the order of members don't matter. A query
    that is not JSON is hashed as it is.
    """
    try:
        normalised = encode(decode(query), order="sorted")
    except DecodeError:
        normalised = query
    return xxh3_64_intdigest(f"{customer}\0{class_name}\0".encode() + normalised)
