from dataclasses import dataclass

from geraniumlead.upstreams.subquery import Subquery


@dataclass(slots=True, frozen=True)
class CallUpstream:
    """Send a subquery to an upstream's address and report the result as UpstreamAnswered.

    The call must end within ``timeout_ms``. After ``overdue_ms``, if set, it may be ended as
    TimedOut with ``silent_connection`` when the upstream has meanwhile answered on another
    connection.
    """

    call_id: str
    address: str
    subquery: Subquery
    timeout_ms: float
    connections: int
    overdue_ms: float | None = None
