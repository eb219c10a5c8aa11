"""Define one class of a customer's traffic."""

from typing import Annotated

from msgspec import Meta, Struct

Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]
Share = Annotated[float, Meta(ge=0, le=0.5)]


class TrafficClass(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Say how requests of one class are served.

    ``priority`` 0 goes first. ``deadline_ms`` bounds the time a caller waits; a request may
    ask for less. ``least_coverage`` is the share of shards below which an answer is a failure.
    ``waits_for_all`` classes use the whole deadline for missing shards; the others may end
    early with a partial answer. ``hedge_share`` and ``retry_share`` bound the extra subqueries
    as a share of the first ones. ``long_running`` requests never take the last slots.
    """

    name: Name
    service: Name
    priority: Annotated[int, Meta(ge=0, le=9)]
    deadline_ms: Annotated[int, Meta(ge=1, le=600_000)]
    least_coverage: Annotated[float, Meta(ge=0, le=1)] = 1.0
    waits_for_all: bool = True
    idempotent: bool = True
    hedge_share: Share = 0.02
    retry_share: Share = 0.1
    long_running: bool = False
