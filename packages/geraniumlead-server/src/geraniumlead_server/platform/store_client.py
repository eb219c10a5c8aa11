"""Call the platform's store."""

import logging

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec import DecodeError, Struct, ValidationError, field
from msgspec.json import Decoder

from geraniumlead.forwarding import UpstreamWithdrawn
from geraniumlead.forwarding.updates import PublishedUpdate
from geraniumlead.peering import StoreItem, StoreUpdates
from geraniumlead_server.platform.names import (
    HISTORY_GONE_STATUS,
    RANGE_PATH,
    UPSTREAM_PREFIX,
    WATCH_PATH,
)
from geraniumlead_server.platform.store_records import Unreadable, read_item

CONNECT_TIMEOUT_S = 0.5
MOST_RELAYED_BYTES = 400_000
"""Size of a value up to which instances pass it on to each other, some 30 KB compressed: a larger
configuration to ten others would fill a slow link for a second."""

FULL_REPLY_EVENTS = 400
"""Changes in one reply from which on there are more: the store cuts a reply at about 500 items."""

FULL_REPLY_BYTES = 700_000
"""The same by size in base64, counting one more change as large as the largest: a reply is cut at
about 1 MB, before the change that does not fit."""

BASE64_GROWTH = 4.0 / 3.0

ALL_KEYS = ""
"""Prefix of every key. Read one by one, the two prefixes in use cost a start one more way to the
store and back, 40 ms from another region, in which callers wait."""

logger = logging.getLogger("geraniumlead")


class StoreError(Exception):
    """Raised when the store gave no usable answer."""


class HistoryGoneError(StoreError):
    """Raised when the store no longer knows what changed since a revision."""


class ItemBody(Struct, rename="camel"):
    """Be a key, or its deletion; JSON text carries the value in base64."""

    key: str
    revision: int
    value: bytes | None = None
    deleted: bool = False


class RangeBody(Struct):
    """Be a page of keys. ``currentRev`` is the store's own revision."""

    items: list[ItemBody]
    revision: int = field(name="currentRev")
    truncated: bool = False


class WatchBody(Struct):
    """Be what has changed."""

    events: list[ItemBody]
    revision: int = field(name="currentRev")


class StoreChanges(Struct, frozen=True):
    """Hold what changed, and the revision up to which; with ``has_more`` that is not the latest.

    ``relayed`` says the same to other instances. ``waited_ms`` is how long the store waited
    for a change at the least: 0 when there was one.
    """

    news: tuple[PublishedUpdate, ...]
    revision: int
    has_more: bool
    relayed: StoreUpdates
    waited_ms: float


_RANGE = Decoder(RangeBody)
_WATCH = Decoder(WatchBody)


class StoreClient:
    """Read keys and wait for changes, over one address."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._session: ClientSession | None = None
        self._revisions: dict[str, int] = {}
        self._known: dict[str, PublishedUpdate] = {}
        self._held: dict[str, StoreItem] = {}
        self._unreadable: set[tuple[str, str]] = set()

    async def read_all(self, timeout_ms: float) -> tuple[tuple[PublishedUpdate, ...], int]:
        """Return everything that stands in the store, and the revision to watch from.

        ``timeout_ms`` is for each page.

        The pages are no snapshot: what changes meanwhile is in the watch that follows.
        """
        items: list[ItemBody] = []
        first_revision = None
        after = ""
        while True:
            query = {"prefix": ALL_KEYS, "after": after} if after else {"prefix": ALL_KEYS}
            page = await self._call(RANGE_PATH, query, timeout_ms / 1000.0, _RANGE)
            first_revision = page.revision if first_revision is None else first_revision
            items += page.items
            if not page.truncated or not page.items:
                return self._read_anew(items), first_revision
            after = page.items[-1].key

    async def watch(self, revision: int, wait_ms: int, slack_ms: float) -> StoreChanges:
        """Return what changed after a revision; raises HistoryGoneError when that is unknown.

        ``slack_ms`` is how much longer than its wait the call may take.
        """
        query = {"prefix": ALL_KEYS, "after": str(revision), "waitMs": str(wait_ms)}
        timeout_s = (wait_ms + slack_ms) / 1000.0
        found = await self._call(WATCH_PATH, query, timeout_s, _WATCH)
        news, changed = self._read_items(found.events)
        return StoreChanges(
            news=tuple(news),
            revision=found.revision,
            has_more=_is_full(found.events),
            relayed=_relayed(revision, found.revision, changed),
            waited_ms=0.0 if found.events else float(wait_ms),
        )

    def read_relayed(self, relayed: StoreUpdates) -> tuple[PublishedUpdate, ...]:
        """Return what another instance has read."""
        items = [
            ItemBody(item.key, item.revision, item.value, item.value is None)
            for item in relayed.items
        ]
        if relayed.is_state:
            return self._read_anew(items)
        return tuple(self._read_items(items)[0])

    def tell_state(self, revision: int) -> StoreUpdates:
        """Return for other instances all that stood in the store at a revision, or after it."""
        return StoreUpdates(revision, revision, tuple(self._held.values()), is_state=True)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(self, path: str, query: dict, timeout_s: float, decoder: Decoder):
        if self._session is None:
            self._session = ClientSession(auto_decompress=False)
        timeout = ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.get(
                self._base + path, params=query, timeout=timeout
            ) as response:
                body = await response.read()
        except (ClientError, OSError, TimeoutError) as error:
            raise StoreError(type(error).__name__) from error
        if response.status == HISTORY_GONE_STATUS:
            raise HistoryGoneError("the history is gone")
        if response.status != 200:
            raise StoreError(f"status {response.status}")
        try:
            return decoder.decode(body)
        except (DecodeError, ValidationError) as error:
            raise StoreError(str(error)) from error

    def _read_anew(self, items: list[ItemBody]) -> tuple[PublishedUpdate, ...]:
        self._revisions.clear()
        self._known.clear()
        self._held.clear()
        return tuple(self._read_items(items)[0])

    def _read_items(self, items: list[ItemBody]) -> tuple[list[PublishedUpdate], list[ItemBody]]:
        """Return what items say that was not known, and the items that said so."""
        found, changed = [], []
        for item in items:
            # Pages of one reading differ in age: a watch from the first repeats what the last
            # page knew already, and would turn an upstream back to what it was.
            if item.revision < self._revisions.get(item.key, 0):
                continue
            self._revisions[item.key] = item.revision
            news = self._read_one(item)
            if news is not None and news != self._known.get(item.key):
                self._known[item.key] = news
                self._held[item.key] = StoreItem(item.key, item.revision, item.value)
                found.append(news)
                changed.append(item)
            if item.deleted:
                self._known.pop(item.key, None)
                self._held.pop(item.key, None)
        return found, changed

    def _read_one(self, item: ItemBody) -> PublishedUpdate | None:
        news = read_item(item.key, None if item.deleted else item.value)
        if not isinstance(news, Unreadable):
            return news
        self._log_unreadable(news)
        if news.key.startswith(UPSTREAM_PREFIX):
            return UpstreamWithdrawn(news.key.removeprefix(UPSTREAM_PREFIX))
        return None

    def _log_unreadable(self, unreadable: Unreadable) -> None:
        seen = (unreadable.key, unreadable.reason)
        if seen in self._unreadable:
            return
        if len(self._unreadable) > 1000:
            self._unreadable.clear()
        self._unreadable.add(seen)
        fields = {"key": unreadable.key, "reason": unreadable.reason}
        logger.warning("entry_skipped", extra={"fields": fields})


def _relayed(from_revision: int, to_revision: int, items: list[ItemBody]) -> StoreUpdates:
    small = [item for item in items if len(item.value or b"") <= MOST_RELAYED_BYTES]
    return StoreUpdates(
        from_revision,
        to_revision,
        tuple(StoreItem(item.key, item.revision, item.value) for item in small),
        is_cut=len(small) < len(items),
    )


def _is_full(events: list[ItemBody]) -> bool:
    """Return whether the store may have cut a reply, so that the rest has to be asked for.

    Failure: configurations of 400 KB come in quick succession, and one or two fill a reply. Only
    what was left out shows the cut; with a pause after each reply the view fell behind by more
    than its bound. The next configuration is about as large as the last.
    """
    if len(events) >= FULL_REPLY_EVENTS:
        return True
    sizes = [len(event.value or b"") * BASE64_GROWTH for event in events]
    return sum(sizes) + max(sizes, default=0.0) >= FULL_REPLY_BYTES
