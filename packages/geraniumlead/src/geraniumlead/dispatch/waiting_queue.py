"""Queue the calls that wait for one upstream."""

from collections import deque
from collections.abc import Iterator

from geraniumlead.dispatch.waiting_call import WaitingCall

FLOOR_INTERVAL = 100
"""One place in a hundred goes to the lowest class that waits, whatever waits above it.

Admission gives the lowest class its share of the service; this floor only keeps an admitted
call from waiting for ever. It must be rare: a query waits for the latest of its shards, so at
20 shards a floor of one in ten would hold up nearly every first-class query.
"""

Lane = tuple[int, bool]


class WaitingQueue:
    """Serve by priority, first come first served within one, with a floor for the lowest.

    Load pattern: a steady surplus of a high class in front of one upstream. Without
    priorities it waits behind bulk work; without the floor the lowest class would wait for
    ever, and its callers would send again. Long jobs have lanes of their own, since they may
    be passed over.
    """

    __slots__ = ("_lanes", "_length", "_popped")

    def __init__(self) -> None:
        self._lanes: dict[Lane, deque[WaitingCall]] = {}
        self._length = 0
        self._popped = 0

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return self._length

    def __iter__(self) -> Iterator[WaitingCall]:
        """Return the waiting calls in the order of their lanes."""
        for lane in sorted(self._lanes):
            yield from self._lanes[lane]

    def push(self, call: WaitingCall) -> None:
        """Let a call wait."""
        lane = (call.subquery.priority, call.long_running)
        queue = self._lanes.get(lane)
        if queue is None:
            queue = self._lanes[lane] = deque()
        queue.append(call)
        self._length += 1

    def pop(self, allow_long: bool) -> WaitingCall | None:
        """Take the next call; None when only long jobs wait and they must not start."""
        lanes = [lane for lane in sorted(self._lanes) if allow_long or not lane[1]]
        if not lanes:
            return None
        self._popped += 1
        is_floor = self._popped % FLOOR_INTERVAL == 0
        return self._take(lanes[-1] if is_floor else lanes[0], from_left=True)

    def pop_worst(self, better_than: int) -> WaitingCall | None:
        """Take the latest call of the lowest priority, if it is lower than ``better_than``."""
        if not self._lanes:
            return None
        worst = max(self._lanes)
        return self._take(worst, from_left=False) if worst[0] > better_than else None

    def count_ahead(self, priority: int) -> int:
        """Return how many calls are served before a new one of this priority."""
        return sum(len(queue) for lane, queue in self._lanes.items() if lane[0] <= priority)

    def remove(self, call: WaitingCall) -> None:
        """Take out a call that is no longer wanted."""
        lane = (call.subquery.priority, call.long_running)
        self._lanes[lane].remove(call)
        self._forget_if_empty(lane)

    def clear(self) -> list[WaitingCall]:
        """Take out all calls."""
        calls = list(self)
        self._lanes.clear()
        self._length = 0
        return calls

    def _take(self, lane: Lane, from_left: bool) -> WaitingCall:
        queue = self._lanes[lane]
        call = queue.popleft() if from_left else queue.pop()
        self._forget_if_empty(lane)
        return call

    def _forget_if_empty(self, lane: Lane) -> None:
        self._length -= 1
        if not self._lanes[lane]:
            del self._lanes[lane]
