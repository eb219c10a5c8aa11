from collections import deque
from dataclasses import dataclass, field

from geraniumlead.clocks import ClockOffset
from geraniumlead.peering.messages import PeerContact, PeeringMessage
from geraniumlead.peering.outgoing_peer_message import OutgoingPeerMessage
from geraniumlead.peering.process_id import UNKNOWN_INCARNATION, ProcessId

DELAY_SAMPLES = 8
"""Number of hellos whose delays are kept, some eight seconds. A delay that has increased counts
after that time, and a restart, which takes a second or two, never fills the whole window."""

EARLIER_PROCESSES = 8
"""Number of earlier processes of a peer that are remembered; a message waits for seconds at most,
and an instance does not restart more often meanwhile."""

DEFAULT_DELAY_MS = 40.0
"""One-way delay assumed before the first sample; the longest between data centres is 20 ms."""

ACKNOWLEDGEMENT_SLACK_MS = 40.0
"""Time beyond the round trip that a peer may take to acknowledge a request. Its event loop is
seldom busy for more than some ms, and the request then still meets its latency goal."""


@dataclass(slots=True)
class KnownPeer:
    """The last state that a peer reported, and when its latest hello came.

    ``mentioned_ms`` is when another instance last named the peer, and ``hello_sent_ms`` when a
    hello was last sent to it. ``echoed_ms`` is this instance's clock in its latest hello that the
    peer has received. ``silent_since_ms`` is when the peer failed to respond in time; None once
    it has responded or echoed a later hello. ``count`` is how many instances the peer
    knows. ``started_ms`` is when its current process started, or, after a restart, when its first
    hello came. ``replaced_ms`` is when this instance first heard of that process, if it knew an
    earlier one. ``latest_clock_ms`` is the peer's clock in its latest hello. ``clock_offset``
    compares the clocks by the messages of its current process. ``assumed_delay_ms`` is the delay
    to other peers of its data centre.

    Failure: a peer restarts, and the hellos to it wait while it loads. In a mean, one such sample
    made a delay of 8 ms look like 200, and requests delegated to the peer just before it lost
    power were given up only after their latency goal. So the minimum of several samples is used.
    """

    contact: PeerContact
    latest_hello_ms: float = float("-inf")
    mentioned_ms: float = float("-inf")
    hello_sent_ms: float = float("-inf")
    echoed_ms: float = float("-inf")
    silent_since_ms: float | None = None
    incarnation: int = UNKNOWN_INCARNATION
    earlier_incarnations: deque[int] = field(
        default_factory=lambda: deque(maxlen=EARLIER_PROCESSES)
    )
    replaced_ms: float = float("-inf")
    started_ms: float = float("-inf")
    left_incarnation: int | None = None
    version: int = 0
    count: int = 0
    asks_names: bool = False
    is_ready: bool = False
    latest_clock_ms: float | None = None
    clock_offset: ClockOffset = field(default_factory=ClockOffset)
    assumed_delay_ms: float | None = None
    delay_samples_ms: deque[float] = field(default_factory=lambda: deque(maxlen=DELAY_SAMPLES))
    open_delegations: int = 0
    declined_ms: float = float("-inf")

    @property
    def process(self) -> ProcessId:
        """Return the present process of the peer."""
        return ProcessId(self.contact.instance_id, self.incarnation)

    @property
    def has_left(self) -> bool:
        """Return whether the last known process of the peer sent a goodbye."""
        return self.incarnation == self.left_incarnation

    @property
    def one_way_delay_ms(self) -> float | None:
        """Return the least of the latest one-way delays; None before the first sample."""
        return min(self.delay_samples_ms, default=None)

    @property
    def estimated_delay_ms(self) -> float:
        """Return the one-way delay, or an assumed one before the first sample."""
        for delay_ms in (self.one_way_delay_ms, self.assumed_delay_ms):
            if delay_ms is not None:
                return delay_ms
        return DEFAULT_DELAY_MS

    @property
    def acknowledgement_timeout_ms(self) -> float:
        """Return the time within which the peer acknowledges a request."""
        return 2.0 * self.estimated_delay_ms + ACKNOWLEDGEMENT_SLACK_MS

    def address_message(
        self, message: PeeringMessage, receiver_incarnation: int | None = None
    ) -> OutgoingPeerMessage:
        """Return a message to the present process of the peer, or to the given one."""
        if receiver_incarnation is None:
            receiver_incarnation = self.incarnation
        return OutgoingPeerMessage(
            self.contact.instance_id,
            self.contact.address,
            message,
            receiver_incarnation=receiver_incarnation,
        )

    def record_process(self, incarnation: int, now_ms: float) -> None:
        """Record which process of the peer runs now.

        What was known of the earlier one's clock says nothing of the clock of this one, whose
        machine may have restarted.
        """
        if self.incarnation != UNKNOWN_INCARNATION:
            self.earlier_incarnations.append(self.incarnation)
            self.replaced_ms = self.started_ms = now_ms
        if incarnation in self.earlier_incarnations:
            self.earlier_incarnations.remove(incarnation)
        self.incarnation = incarnation
        self.latest_clock_ms = None
        self.clock_offset = ClockOffset()

    def extra_delay_ms(self, sent_ms: float, now_ms: float) -> float:
        """Return how much longer a message took than the quickest; 0 before any message."""
        return max(0.0, now_ms - sent_ms - self.clock_offset.least_ms)

    def record_delay(self, delay_ms: float) -> None:
        """Record the one-way delay of one hello."""
        self.delay_samples_ms.append(max(0.0, delay_ms))
