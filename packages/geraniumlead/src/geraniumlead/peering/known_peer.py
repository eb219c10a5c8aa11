"""Define what is known of one peer."""

from dataclasses import dataclass

from geraniumlead.peering.messages import PeerContact

WAY_WEIGHT = 0.3
"""Weight of the newest time of the way; a busy loop makes single ones too long."""


@dataclass(slots=True)
class KnownPeer:
    """Hold what a peer said of itself, and when it was heard.

    ``echoed_ms`` is this instance's clock in the latest hello that the peer has had of it.
    """

    contact: PeerContact
    heard_ms: float = float("-inf")
    mentioned_ms: float = float("-inf")
    told_ms: float = float("-inf")
    echoed_ms: float = float("-inf")
    silent_ms: float | None = None
    incarnation: int = 0
    left_incarnation: int | None = None
    version: int = 0
    is_ready: bool = False
    clock_ms: float | None = None
    way_ms: float | None = None
    open_delegations: int = 0

    def note_way(self, way_ms: float) -> None:
        """Learn how long a message takes to the peer."""
        way_ms = max(0.0, way_ms)
        if self.way_ms is None or way_ms < self.way_ms:
            self.way_ms = way_ms
        else:
            self.way_ms += WAY_WEIGHT * (way_ms - self.way_ms)
