"""Host one instance in a virtual run."""

from collections import deque
from dataclasses import dataclass, field

from geraniumlead.events import Event
from geraniumlead.instance import Instance


@dataclass(slots=True)
class VirtualInstance:
    """Hold an instance and whether its process runs, is frozen or is gone."""

    instance: Instance
    is_alive: bool = True
    is_frozen: bool = False
    is_watching: bool = False
    watch_number: int = 0
    seen_revision: int = 0
    pending_events: deque[Event] = field(default_factory=deque)
    wake_ms: float = float("inf")
