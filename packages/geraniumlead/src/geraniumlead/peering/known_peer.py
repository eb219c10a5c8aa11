"""Define what is known of one peer."""

from collections import deque
from dataclasses import dataclass, field

from geraniumlead.peering.messages import PeerContact

WAY_SAMPLES = 8
"""Hellos whose times are remembered, some eight seconds: a way that got longer is believed then,
and a start, which takes a second or two, never fills them all."""

UNKNOWN_WAY_MS = 40.0
"""Guess of the time of the way before it is measured; today's longest is 20 ms."""

TAKEN_SLACK_MS = 40.0
"""How much longer than the way there and back a peer may take to say that it serves a request.
Its loop is seldom busy for more than some ms, and the request then still meets its goal."""


@dataclass(slots=True)
class KnownPeer:
    """Hold what a peer said of itself, and when it was heard.

    ``echoed_ms`` is this instance's clock in the latest hello that the peer has had of it;
    ``count`` is how many instances the peer knows; ``began_ms`` is when its present life began,
    or was heard of after another one. ``clock_gap_ms`` is the least that this clock was ahead of
    the peer's when a hello of its present life came: how far the clocks differ, and the time of
    the way. ``assumed_way_ms`` is the way to others of its data centre.

    Failure: a peer starts again, and the hellos to it wait while it loads. Taken into a mean,
    one such time made the way of 8 ms look like 200, and what was passed to the peer just
    before it lost power was given up only after the goal. The least of several is the way.
    """

    contact: PeerContact
    heard_ms: float = float("-inf")
    mentioned_ms: float = float("-inf")
    told_ms: float = float("-inf")
    echoed_ms: float = float("-inf")
    silent_ms: float | None = None
    incarnation: int = 0
    began_ms: float = float("-inf")
    left_incarnation: int | None = None
    version: int = 0
    count: int = 0
    asks_names: bool = False
    is_ready: bool = False
    clock_ms: float | None = None
    clock_gap_ms: float = float("inf")
    assumed_way_ms: float | None = None
    way_samples_ms: deque[float] = field(default_factory=lambda: deque(maxlen=WAY_SAMPLES))
    open_delegations: int = 0
    declined_ms: float = float("-inf")

    @property
    def has_left(self) -> bool:
        """Return whether it said farewell in the life that was last heard of."""
        return self.incarnation == self.left_incarnation

    @property
    def way_ms(self) -> float | None:
        """Return how long a message takes to the peer; None before it is measured."""
        return min(self.way_samples_ms, default=None)

    @property
    def usual_way_ms(self) -> float:
        """Return how long a message takes to the peer, or a guess."""
        for way_ms in (self.way_ms, self.assumed_way_ms):
            if way_ms is not None:
                return way_ms
        return UNKNOWN_WAY_MS

    @property
    def word_ms(self) -> float:
        """Return the time within which the peer says that it serves a request."""
        return 2.0 * self.usual_way_ms + TAKEN_SLACK_MS

    def note_clock(self, sent_ms: float, now_ms: float) -> None:
        """Learn from one hello how far the clocks differ."""
        self.clock_gap_ms = min(self.clock_gap_ms, now_ms - sent_ms)

    def delay_ms(self, sent_ms: float, now_ms: float) -> float:
        """Return how much longer than a quick hello a message took; 0 before any hello."""
        if self.clock_gap_ms == float("inf"):
            return 0.0
        return max(0.0, now_ms - sent_ms - self.clock_gap_ms)

    def note_way(self, way_ms: float) -> None:
        """Learn from one hello how long a message takes to the peer."""
        self.way_samples_ms.append(max(0.0, way_ms))
