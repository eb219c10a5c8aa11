from collections import deque
from collections.abc import Iterator

from geraniumlead.dispatch.waiting_call import WaitingCall

FLOOR_INTERVAL = 100
"""One call in a hundred is taken from the lowest waiting class, regardless of higher ones.

Admission already gives the lowest class its share of the service. This floor only keeps an
admitted call from waiting forever. It must be rare: a query waits for the last of its shards, so
with 20 shards a floor of one in ten would delay nearly every query of the highest class.
"""

Lane = tuple[int, bool]


class WaitingQueue:
    """The calls that wait for one upstream, by priority and first come, first served within one.

    Load pattern: a high class permanently sends more than one upstream serves. Without
    priorities it would wait behind bulk work. Without a floor the lowest class would wait
    forever, and its callers would retry. Long-running calls have separate lanes, because they
    may have to be skipped.
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
        """Iterate over the waiting calls in the order of their lanes."""
        for lane in sorted(self._lanes):
            yield from self._lanes[lane]

    def push(self, call: WaitingCall) -> None:
        """Add a call."""
        lane = (call.subquery.priority, call.long_running)
        queue = self._lanes.get(lane)
        if queue is None:
            queue = self._lanes[lane] = deque()
        queue.append(call)
        self._length += 1

    def pop(self, allow_long: bool) -> WaitingCall | None:
        """Remove and return the next call. None if all are long-running and must not start."""
        lanes = [lane for lane in sorted(self._lanes) if allow_long or not lane[1]]
        if not lanes:
            return None
        self._popped += 1
        is_floor = self._popped % FLOOR_INTERVAL == 0
        return self._pop_from(lanes[-1] if is_floor else lanes[0], from_left=True)

    def pop_worst(self, better_than: int) -> WaitingCall | None:
        """Remove and return the newest call of the lowest priority, if below ``better_than``."""
        if not self._lanes:
            return None
        worst = max(self._lanes)
        return self._pop_from(worst, from_left=False) if worst[0] > better_than else None

    def count_ahead(self, priority: int) -> int:
        """Return how many calls would be served before a new one of this priority."""
        return sum(len(queue) for lane, queue in self._lanes.items() if lane[0] <= priority)

    def remove(self, call: WaitingCall) -> None:
        """Remove a call that is no longer needed."""
        lane = (call.subquery.priority, call.long_running)
        self._lanes[lane].remove(call)
        self._record_removal(lane)

    def clear(self) -> list[WaitingCall]:
        """Remove and return all calls."""
        calls = list(self)
        self._lanes.clear()
        self._length = 0
        return calls

    def _pop_from(self, lane: Lane, from_left: bool) -> WaitingCall:
        queue = self._lanes[lane]
        call = queue.popleft() if from_left else queue.pop()
        self._record_removal(lane)
        return call

    def _record_removal(self, lane: Lane) -> None:
        self._length -= 1
        if not self._lanes[lane]:
            del self._lanes[lane]
