from collections import deque
from dataclasses import dataclass, field

from geraniumlead.events import Event
from geraniumlead.instance import Instance


@dataclass(slots=True)
class VirtualInstance:
    """An instance in a virtual run with the state of its simulated process.

    ``pending_events`` holds the events that arrived while the process was frozen.
    ``watch_number`` identifies the newest read or watch of the platform; answers to older
    ones are dropped.
    """

    instance: Instance
    is_alive: bool = True
    is_frozen: bool = False
    is_watching: bool = False
    watch_number: int = 0
    seen_revision: int = 0
    pending_events: deque[Event] = field(default_factory=deque)
    wake_ms: float = float("inf")
