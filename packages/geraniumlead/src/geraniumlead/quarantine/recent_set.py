"""Remember a bounded number of fingerprints."""

from collections import OrderedDict


class RecentSet:
    """Hold the most recently used fingerprints; the others are forgotten."""

    __slots__ = ("_items", "_most")

    def __init__(self, most: int) -> None:
        self._most = most
        self._items: OrderedDict[int, None] = OrderedDict()

    def __contains__(self, item: int) -> bool:
        """Return whether an item is remembered, and count that as a use."""
        if item not in self._items:
            return False
        self._items.move_to_end(item)
        return True

    def __len__(self) -> int:
        """Return the number of remembered items."""
        return len(self._items)

    def add(self, item: int) -> None:
        """Remember an item, and forget the one that was not used for the longest time."""
        self._items[item] = None
        self._items.move_to_end(item)
        if len(self._items) > self._most:
            self._items.popitem(last=False)

    def discard(self, item: int) -> None:
        """Forget an item."""
        self._items.pop(item, None)
