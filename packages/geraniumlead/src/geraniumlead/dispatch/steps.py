"""Steps that the dispatcher returns for its instance to carry out."""

from dataclasses import dataclass

from geraniumlead.documents.upstream_entry import UpstreamEntry
from geraniumlead.upstreams.answers import UpstreamAnswer
from geraniumlead.upstreams.subquery import Subquery


@dataclass(slots=True, frozen=True)
class StartCall:
    """Send the subquery to the upstream now."""

    subquery: Subquery
    entry: UpstreamEntry
    timeout_ms: float
    connections: int
    overdue_ms: float | None = None


@dataclass(slots=True, frozen=True)
class StopCall:
    """Cancel a call that was started."""

    call_id: str


@dataclass(slots=True, frozen=True)
class EndCall:
    """Send the answer of a subquery to its coordinator ``origin``. None is this instance."""

    origin: str | None
    call_id: str
    answer: UpstreamAnswer


@dataclass(slots=True, frozen=True)
class NotifyOwners:
    """Notify the other owners of an upstream about its observed phase."""

    upstream_id: str
    owner_ids: tuple[str, ...]
    phase: str


DispatchStep = StartCall | StopCall | EndCall | NotifyOwners
