from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SubqueryRoute:
    """The upstream of a subquery and the owner to send it through; None is this instance."""

    upstream_id: str
    owner_id: str | None
