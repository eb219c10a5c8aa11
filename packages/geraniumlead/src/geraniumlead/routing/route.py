"""Define the way of one subquery."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Route:
    """Name the upstream, and the owner to send through; None is this instance itself."""

    upstream_id: str
    owner_id: str | None
