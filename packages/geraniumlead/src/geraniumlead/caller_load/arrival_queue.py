from collections.abc import Hashable
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)

MAX_FAIR_WAIT_MS = 100.0
"""Wait of the first up to which all are served in the order in which they came."""


class ArrivalQueue(Generic[Item]):
    """A queue that serves the last arrival first once the first has waited for long.

    Load pattern: a crowd of thousands arrives within a second, and the queue needs seconds to clear
    it. In the order of arrival, whoever comes meanwhile waits for as long as the whole crowd, and
    in the end nobody is served in time. Served last first, those that come after the crowd do not
    notice it.
    """

    __slots__ = ("_since_ms",)

    def __init__(self) -> None:
        self._since_ms: dict[Item, float] = {}

    def __len__(self) -> int:
        """Return the number of items that wait."""
        return len(self._since_ms)

    def add(self, item: Item, now_ms: float) -> None:
        """Add an item."""
        self._since_ms[item] = now_ms

    def discard(self, item: Item) -> None:
        """Remove an item, if it waits."""
        self._since_ms.pop(item, None)

    def first_wait_ms(self, now_ms: float) -> float:
        """Return how long the first item has waited; 0 if none waits."""
        return now_ms - next(iter(self._since_ms.values()), now_ms)

    def pop_first(self) -> Item:
        """Remove and return the item that has waited for the longest time."""
        item = next(iter(self._since_ms))
        del self._since_ms[item]
        return item

    def pop(self, now_ms: float) -> Item:
        """Remove and return the item that is served next."""
        if self.first_wait_ms(now_ms) <= MAX_FAIR_WAIT_MS:
            return self.pop_first()
        return self._since_ms.popitem()[0]
