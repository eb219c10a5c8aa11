"""Keep the calls to one upstream within what it can bear."""

from collections import deque

from geraniumlead.dispatch.waiting_call import WaitingCall
from geraniumlead.documents.upstream_entry import UpstreamEntry


class UpstreamGate:
    """Count the calls in flight to one upstream and queue the others."""

    __slots__ = ("entry", "in_flight", "owner_count", "waiting")

    def __init__(self, entry: UpstreamEntry, owner_count: int) -> None:
        self.entry = entry
        self.owner_count = owner_count
        self.in_flight: dict[str, WaitingCall] = {}
        self.waiting: deque[WaitingCall] = deque()

    @property
    def most_in_flight(self) -> int:
        """Return this owner's share of the slots, at least one."""
        return max(1, -(-self.entry.slots // max(1, self.owner_count)))

    @property
    def connections(self) -> int:
        """Return this owner's share of the upstream's connections, at least one."""
        return max(1, self.entry.connections // max(1, self.owner_count))

    def has_room(self) -> bool:
        """Return whether one more call may start."""
        return len(self.in_flight) < self.most_in_flight
