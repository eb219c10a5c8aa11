from typing import Annotated

from msgspec import Meta, Struct

Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]
Share = Annotated[float, Meta(ge=0, le=0.5)]


class TrafficClass(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How requests of one class are served.

    ``priority`` 0 is served first. ``deadline_ms`` is the longest time that a caller waits; a
    request may set a shorter one. With answers from a smaller share of the shards than
    ``least_coverage``, a request fails. A class with ``waits_for_all`` waits for missing shards
    until the deadline; others may end early with a partial answer. ``hedge_share`` and
    ``retry_share`` limit hedges and retries to a share of the first subqueries. ``long_running``
    requests never occupy the last slots of an upstream.
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
