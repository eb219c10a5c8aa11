"""Hold the keys and the history of a store, and build its answers."""

import asyncio
from base64 import b64encode

from msgspec.json import encode

MAX_REPLY_EVENTS = 500
"""Changes in one reply to a watch; whoever is further behind asks again from its revision."""

MAX_REPLY_BYTES = 1_000_000
"""Size of one reply to a watch, by its values in base64; the first change always fits."""

FIRST_REVISION = 1


class StoreContents:
    """Hold keys with revisions, and answer as the platform's store does.

    ``oldest`` is the oldest revision whose history is kept; ``page_items`` is how many keys a
    page holds.
    """

    def __init__(self, page_items: int) -> None:
        self.oldest_revision = 0
        self.revision = FIRST_REVISION
        self._page_items = page_items
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: dict | bytes) -> None:
        """Write a key; a dict becomes JSON."""
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
        """Know nothing of what changed before now."""
        self.oldest_revision = self.revision

    def page(self, prefix: str, after: str) -> dict:
        """Return the keys with a prefix that come after a key, as far as they fit."""
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        items = [self._items[key] for key in keys[: self._page_items]]
        is_truncated = len(keys) > self._page_items
        return {"items": items, "truncated": is_truncated, "currentRev": self.revision}

    async def changes(self, after: int, wait_s: float) -> dict | None:
        """Return what changed after a revision, or wait for it; None when that is forgotten."""
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
        """Return the events that fit into one reply by their size."""
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
