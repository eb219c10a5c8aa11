from geraniumlead.dispatch.slot_limit import SlotLimit
from geraniumlead.dispatch.waiting_call import WaitingCall
from geraniumlead.dispatch.waiting_queue import WaitingQueue
from geraniumlead.documents.upstream_entry import UpstreamEntry

MAX_WAITING_PER_SLOT = 64
"""Queue length per slot. The estimated wait usually refuses earlier, but needs answers first."""

SERVICE_TIME_WEIGHT = 0.1
"""Weight of a new service time in the mean, which covers two thirds of a step after ten answers."""


INITIAL_SERVICE_MS = 10.0
"""Assumed service time before the first answer."""


OVERDUE_FACTOR = 20.0
MIN_OVERDUE_MS = 100.0
"""After twenty mean service times without an answer, the connection may have failed silently."""


class UpstreamGate:
    """The calls of this owner to one upstream: in flight and waiting."""

    __slots__ = (
        "connections",
        "draining_until_ms",
        "entry",
        "in_flight",
        "limit",
        "long_in_flight",
        "long_slots",
        "owner_count",
        "service_ms",
        "waiting",
    )

    def __init__(self, entry: UpstreamEntry, owners: tuple[str, ...], instance_id: str) -> None:
        self.in_flight: dict[str, WaitingCall] = {}
        self.waiting = WaitingQueue()
        self.limit = SlotLimit(entry, len(owners))
        self.service_ms = INITIAL_SERVICE_MS
        self.long_in_flight = 0
        self.draining_until_ms = float("-inf")
        self.set_entry(entry, owners, instance_id)

    def set_entry(self, entry: UpstreamEntry, owners: tuple[str, ...], instance_id: str) -> None:
        """Apply the published entry of the upstream and its owners."""
        self.entry = entry
        self.owner_count = len(owners)
        self.long_slots = count_long_slots(entry, owners, instance_id)
        self.limit.set_share(entry, len(owners))
        # This owner's share, at least one. It is stored because every call reads it several times.
        self.connections = max(1, entry.connections // max(1, len(owners)))

    @property
    def warm_limit(self) -> int:
        """Return how many calls this owner may have in flight while the upstream is warm."""
        return min(self.limit.value, self.connections)

    @property
    def overdue_ms(self) -> float:
        """Return the time after which a call's connection may have failed."""
        return max(MIN_OVERDUE_MS, OVERDUE_FACTOR * self.service_ms)

    def can_start_long(self) -> bool:
        """Return whether one more long-running call may start."""
        return self.long_in_flight < self.long_slots

    def can_end_in_time(self, wait_ms: float, remaining_ms: float) -> bool:
        """Return whether a call that starts after ``wait_ms`` can be answered in time.

        Load pattern: calls arrive faster than they are served. In first-come, first-served
        order each call would start just before its deadline, and none would be answered. A call
        that does not have to wait is always started, or a wrong estimate would never be
        corrected.
        """
        return wait_ms <= 0.0 or wait_ms + self.service_ms <= remaining_ms

    def estimate_wait_ms(self, call: WaitingCall, slots: int) -> float:
        """Return how long a new call would wait for one of the slots."""
        ahead = self.waiting.count_ahead(call.subquery.priority)
        missing = len(self.in_flight) + ahead + 1 - slots
        return max(0, missing) * self.service_ms / max(1, slots)

    def record_started(self, call: WaitingCall) -> None:
        """Record that a call was started."""
        self.in_flight[call.subquery.call_id] = call
        self.long_in_flight += call.long_running

    def record_ended(self, call: WaitingCall) -> None:
        """Record that a call was answered or cancelled."""
        del self.in_flight[call.subquery.call_id]
        self.long_in_flight -= call.long_running

    def record_service_time(self, took_ms: float) -> None:
        """Update the mean service time after an answer or a timeout."""
        self.service_ms += SERVICE_TIME_WEIGHT * (took_ms - self.service_ms)


def count_long_slots(entry: UpstreamEntry, owners: tuple[str, ...], instance_id: str) -> int:
    """Return how many slots of the upstream this owner may use for long-running calls.

    All owners together leave one slot to short requests: the first ``slots - 1`` owners in
    rendezvous order have one slot each, or several if there are more slots than owners. An
    upstream with a single slot can't reserve one, so one owner may run one long call there. An
    owner whose share is several slots keeps one of them free itself, because its short requests
    can't use a slot that another owner leaves free.
    """
    if instance_id not in owners:
        return 0
    slots = max(1, entry.slots - 1)
    rank = owners.index(instance_id)
    own_slots = slots // len(owners) + (rank < slots % len(owners))
    share = -(-entry.slots // len(owners))
    return min(own_slots, max(1, share - 1))
