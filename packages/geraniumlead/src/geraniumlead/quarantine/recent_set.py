from collections import OrderedDict


class RecentSet:
    """A set of bounded size that evicts the least recently used fingerprint."""

    __slots__ = ("_capacity", "_items")

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._items: OrderedDict[int, None] = OrderedDict()

    def __contains__(self, item: int) -> bool:
        """Return whether the set contains an item, which counts as a use of it."""
        if item not in self._items:
            return False
        self._items.move_to_end(item)
        return True

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self._items)

    def add(self, item: int) -> None:
        """Add an item, and evict the least recently used one if the set is full."""
        self._items[item] = None
        self._items.move_to_end(item)
        if len(self._items) > self._capacity:
            self._items.popitem(last=False)

    def discard(self, item: int) -> None:
        """Remove an item if it is present."""
        self._items.pop(item, None)
