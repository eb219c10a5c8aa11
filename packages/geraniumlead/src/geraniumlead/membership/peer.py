from dataclasses import dataclass, field

from geraniumlead.clocks import ClockOffset
from geraniumlead.documents.instance_entry import InstanceEntry


@dataclass(slots=True)
class Peer:
    """A listed instance of any data centre, and the last state that it reported.

    ``unanswered_since_ms`` is when the first work or probe was sent to it after its last message.
    ``left_incarnation`` is the incarnation that sent a goodbye.
    """

    entry: InstanceEntry
    data_centre: str
    latest_message_ms: float = float("-inf")
    unanswered_since_ms: float | None = None
    incarnation: str = ""
    left_incarnation: str | None = None
    revision: int = 0
    ready: bool = True
    clock_offset: ClockOffset = field(default_factory=ClockOffset)

    @property
    def leaving(self) -> bool:
        """Return whether the peer sent a goodbye, or is listed as leaving."""
        said_goodbye = self.left_incarnation is not None
        return self.entry.state == "leaving" or said_goodbye
