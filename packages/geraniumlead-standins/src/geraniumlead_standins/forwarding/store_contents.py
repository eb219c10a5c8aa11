import asyncio
from base64 import b64encode

from msgspec.json import encode

MAX_REPLY_EVENTS = 500
"""Most changes in one reply to a watch; a client that is further behind asks again from the
revision that it got."""

MAX_REPLY_BYTES = 1_000_000
"""Largest size of one reply to a watch, counting values in base64; the first change is always
included."""

FIRST_REVISION = 1


class StoreContents:
    """The keys and the history of a store, which answers as the platform's store does.

    ``oldest_revision`` is the oldest revision whose history is kept. ``page_items`` is the
    number of keys in a page.
    """

    def __init__(self, page_items: int) -> None:
        self.oldest_revision = 0
        self.revision = FIRST_REVISION
        self._page_items = page_items
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: dict | bytes) -> None:
        """Write a key; a dict is encoded as JSON."""
        data = value if isinstance(value, bytes) else encode(value)
        self.revision += 1
        item = {"key": key, "revision": self.revision, "value": b64encode(data).decode()}
        self._items[key] = item
        self._append_event(item)

    def delete(self, key: str) -> None:
        """Delete a key."""
        self.revision += 1
        self._items.pop(key, None)
        self._append_event({"key": key, "revision": self.revision, "deleted": True})

    def discard_history(self) -> None:
        """Discard the history of all changes up to now."""
        self.oldest_revision = self.revision

    def page(self, prefix: str, after: str) -> dict:
        """Return the first page of the keys with a prefix that sort after a key."""
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        items = [self._items[key] for key in keys[: self._page_items]]
        is_truncated = len(keys) > self._page_items
        return {"items": items, "truncated": is_truncated, "currentRev": self.revision}

    async def changes(self, after: int, wait_s: float) -> dict | None:
        """Return the changes after a revision, waiting up to ``wait_s`` for the first one.

        Return None if the history after that revision is discarded.
        """
        if after < self.oldest_revision:
            return None
        if after >= self.revision:
            try:
                await asyncio.wait_for(self._changed.wait(), wait_s)
            except TimeoutError:
                return {"events": [], "currentRev": self.revision}
        events = self._limit_size(self._events[after - FIRST_REVISION :][:MAX_REPLY_EVENTS])
        return {"events": events, "currentRev": events[-1]["revision"]}

    def _limit_size(self, events: list[dict]) -> list[dict]:
        """Return the first events that fit into ``MAX_REPLY_BYTES``, at least one."""
        size_bytes = 0
        for count, event in enumerate(events):
            size_bytes += len(event.get("value", ""))
            if count and size_bytes > MAX_REPLY_BYTES:
                return events[:count]
        return events

    def _append_event(self, event: dict) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()
