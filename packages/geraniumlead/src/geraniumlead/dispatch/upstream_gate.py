"""Keep the calls to one upstream within what it can bear."""

from geraniumlead.dispatch.slot_limit import SlotLimit
from geraniumlead.dispatch.waiting_call import WaitingCall
from geraniumlead.dispatch.waiting_queue import WaitingQueue
from geraniumlead.documents.upstream_entry import UpstreamEntry

MOST_WAITING_PER_PLACE = 64
"""Bound of the queue; the estimate of the wait refuses earlier, but has to learn first."""

SERVICE_WEIGHT = 0.1
"""Weight of the newest service time; ten answers after a step the estimate is two thirds there."""


FIRST_SERVICE_MS = 10.0
"""Guess of the service time before the first answer."""


OVERDUE_FACTOR = 20.0
LEAST_OVERDUE_MS = 100.0
"""An answer later than twenty mean service times may be on a connection that went silent."""


class UpstreamGate:
    """Count the calls in flight to one upstream and queue the others."""

    __slots__ = (
        "connections",
        "draining_until_ms",
        "entry",
        "in_flight",
        "limit",
        "long_in_flight",
        "long_places",
        "owner_count",
        "service_ms",
        "waiting",
    )

    def __init__(self, entry: UpstreamEntry, owners: tuple[str, ...], instance_id: str) -> None:
        self.in_flight: dict[str, WaitingCall] = {}
        self.waiting = WaitingQueue()
        self.limit = SlotLimit(entry, len(owners))
        self.service_ms = FIRST_SERVICE_MS
        self.long_in_flight = 0
        self.draining_until_ms = float("-inf")
        self.set_entry(entry, owners, instance_id)

    def set_entry(self, entry: UpstreamEntry, owners: tuple[str, ...], instance_id: str) -> None:
        """Take over what is published of the upstream and its owners."""
        self.entry = entry
        self.owner_count = len(owners)
        self.long_places = count_long_places(entry, owners, instance_id)
        self.limit.set_share(entry, len(owners))
        # This owner's share, at least one; kept, since every call asks for it several times.
        self.connections = max(1, entry.connections // max(1, len(owners)))

    @property
    def warm_limit(self) -> int:
        """Return the calls in flight that this owner may have while the upstream is warm."""
        return min(self.limit.value, self.connections)

    @property
    def overdue_ms(self) -> float:
        """Return after which time a call's connection may be the fault."""
        return max(LEAST_OVERDUE_MS, OVERDUE_FACTOR * self.service_ms)

    def can_start_long(self) -> bool:
        """Return whether a long job leaves a slot for the others."""
        return self.long_in_flight < self.long_places

    def can_end_in_time(self, wait_ms: float, remaining_ms: float) -> bool:
        """Return whether a call that starts after ``wait_ms`` can be answered.

        Load pattern: calls come faster than they are served. First come first served
        then starts each call just before its deadline, so that none is answered at all.
        A call that needs not wait is always tried, or a wrong estimate would never be mended.
        """
        return wait_ms <= 0.0 or wait_ms + self.service_ms <= remaining_ms

    def estimate_wait_ms(self, call: WaitingCall, places: int) -> float:
        """Return how long a new call would wait for its place."""
        ahead = self.waiting.count_ahead(call.subquery.priority)
        missing = len(self.in_flight) + ahead + 1 - places
        return max(0, missing) * self.service_ms / max(1, places)

    def note_started(self, call: WaitingCall) -> None:
        """Count a call that goes out."""
        self.in_flight[call.subquery.call_id] = call
        self.long_in_flight += call.long_running

    def note_ended(self, call: WaitingCall) -> None:
        """Count a call that came back or was cancelled."""
        del self.in_flight[call.subquery.call_id]
        self.long_in_flight -= call.long_running

    def note_service_time(self, took_ms: float) -> None:
        """Learn from an answer, or from its absence, how long the upstream takes."""
        self.service_ms += SERVICE_WEIGHT * (took_ms - self.service_ms)


def count_long_places(entry: UpstreamEntry, owners: tuple[str, ...], instance_id: str) -> int:
    """Return how many long jobs this owner may have at the upstream.

    All owners together leave one slot to short requests: the first ``slots - 1`` owners in
    rendezvous order have a place, or several where there are more slots than owners. An
    upstream of one slot has none to spare, so there one owner may run one long job. An owner
    whose share is several slots keeps one of them free itself: its short requests can't use
    the slot that another owner leaves.
    """
    if instance_id not in owners:
        return 0
    places = max(1, entry.slots - 1)
    rank = owners.index(instance_id)
    most = places // len(owners) + (rank < places % len(owners))
    share = -(-entry.slots // len(owners))
    return min(most, max(1, share - 1))
