"""Define the contract that an operator writes for one customer."""

from typing import Annotated

from msgspec import Meta, Struct

from geraniumlead.documents.traffic_class import TrafficClass

Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]
Sha256Hex = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]


class ContractDocument(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The limits of one customer's traffic; all limits on the customer are derived from them.

    ``rate_per_s`` and ``burst_requests`` are the parameters of a token bucket for the whole fleet,
    ``concurrent_requests`` limits the requests that the whole fleet serves at the same time.
    ``valid_from`` and ``valid_until`` are RFC 3339 timestamps; before and after them every request
    is refused. ``credentials_sha256`` are the SHA-256 digests of the bearer tokens that identify a
    caller as the customer.
    """

    customer: Name
    credentials_sha256: Annotated[list[Sha256Hex], Meta(min_length=1, max_length=8)]
    rate_per_s: Annotated[float, Meta(gt=0, le=1_000_000)]
    burst_requests: Annotated[int, Meta(ge=1, le=10_000_000)]
    concurrent_requests: Annotated[int, Meta(ge=1, le=1_000_000)]
    weight: Annotated[int, Meta(ge=1, le=1000)] = 1
    valid_from: str | None = None
    valid_until: str | None = None
    classes: Annotated[list[TrafficClass], Meta(min_length=1, max_length=32)]
