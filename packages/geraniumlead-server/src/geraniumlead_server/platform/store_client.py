"""Client of the platform's store."""

import logging

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec import DecodeError, Struct, ValidationError, field
from msgspec.json import Decoder

from geraniumlead.forwarding import UpstreamWithdrawn
from geraniumlead.forwarding.updates import PublishedUpdate
from geraniumlead.peering import StoreItem, StoreUpdates
from geraniumlead_server.answer_memory import AnswerMemory
from geraniumlead_server.bounded_connection import BoundedConnector
from geraniumlead_server.platform.names import (
    HISTORY_GONE_STATUS,
    RANGE_PATH,
    UPSTREAM_PREFIX,
    WATCH_PATH,
)
from geraniumlead_server.platform.store_records import UnreadableValue, read_item

CONNECT_TIMEOUT_S = 0.5
MAX_RELAYED_BYTES = 400_000
"""Largest value that instances relay to each other, some 30 KB compressed: a larger configuration
sent to ten others would saturate a slow link for a second."""

MAX_REPLY_BYTES = 8 * 1024 * 1024
"""Longest reply of the store that is read; it limits them to about 1 MB."""

MAX_OPEN_REPLY_BYTES = 2 * MAX_REPLY_BYTES
"""A read and a watch may be received at the same time."""

FULL_REPLY_EVENTS = 400
"""A reply with this many changes counts as truncated: the store limits one to about 500 items."""

FULL_REPLY_BYTES = 700_000
"""A reply counts as truncated if it would reach this size in base64 with one more change as large
as its largest: the store limits a reply to about 1 MB and stops before one that does not fit."""

BASE64_GROWTH = 4.0 / 3.0

ALL_KEYS = ""
"""Prefix of every key. Reading the two prefixes in use one by one would cost a start one more round
trip to the store, 40 ms from another region, in which callers wait."""

logger = logging.getLogger("geraniumlead")


class StoreError(Exception):
    """Raised when the store gives no usable answer."""


class HistoryGoneError(StoreError):
    """Raised when the store no longer has the changes since a revision."""


class ItemBody(Struct, rename="camel"):
    """A key and its value, or its deletion; in JSON the value is base64."""

    key: str
    revision: int
    value: bytes | None = None
    deleted: bool = False


class RangeBody(Struct):
    """A page of keys. ``currentRev`` is the current revision of the whole store."""

    items: list[ItemBody]
    revision: int = field(name="currentRev")
    truncated: bool = False


class WatchBody(Struct):
    """The changes that a watch returns."""

    events: list[ItemBody]
    revision: int = field(name="currentRev")


class StoreChanges(Struct, frozen=True):
    """Changes up to a revision; with ``has_more`` that is not the latest revision.

    ``relayed`` is the message with the same changes for other instances. ``waited_ms`` is the
    shortest time that the store waited for a change: 0 when there was one.
    """

    updates: tuple[PublishedUpdate, ...]
    revision: int
    has_more: bool
    relayed: StoreUpdates
    waited_ms: float


_RANGE = Decoder(RangeBody)
_WATCH = Decoder(WatchBody)


class StoreClient:
    """Reads keys and watches for changes, at one address of the store."""

    def __init__(self, address: str) -> None:
        self._base_url = f"http://{address}"
        self._session: ClientSession | None = None
        self._revisions: dict[str, int] = {}
        self._updates_by_key: dict[str, PublishedUpdate] = {}
        self._items_by_key: dict[str, StoreItem] = {}
        self._logged_unreadable: set[tuple[str, str]] = set()

    async def read_all(self, timeout_ms: float) -> tuple[tuple[PublishedUpdate, ...], int]:
        """Return the whole content of the store, and the revision to watch from.

        ``timeout_ms`` applies to each page.

        The pages are not a consistent snapshot: the watch that follows returns what changes
        meanwhile.
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
                return self._read_full_state(items), first_revision
            after = page.items[-1].key

    async def watch(self, revision: int, wait_ms: int, slack_ms: float) -> StoreChanges:
        """Return the changes after a revision.

        Raises HistoryGoneError when the store no longer has them. ``slack_ms`` is how much longer
        than its wait the call may take.
        """
        query = {"prefix": ALL_KEYS, "after": str(revision), "waitMs": str(wait_ms)}
        timeout_s = (wait_ms + slack_ms) / 1000.0
        body = await self._call(WATCH_PATH, query, timeout_s, _WATCH)
        updates, changed = self._read_items(body.events)
        return StoreChanges(
            updates=tuple(updates),
            revision=body.revision,
            has_more=_may_be_truncated(body.events),
            relayed=_build_relayed_updates(revision, body.revision, changed),
            waited_ms=0.0 if body.events else float(wait_ms),
        )

    def read_relayed(self, relayed: StoreUpdates) -> tuple[PublishedUpdate, ...]:
        """Return the updates in a message of another instance."""
        items = [
            ItemBody(item.key, item.revision, item.value, item.value is None)
            for item in relayed.items
        ]
        if relayed.is_state:
            return self._read_full_state(items)
        return tuple(self._read_items(items)[0])

    def export_state(self, revision: int) -> StoreUpdates:
        """Return the state of the store at a revision, or after it, as a message for peers."""
        return StoreUpdates(revision, revision, tuple(self._items_by_key.values()), is_state=True)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(self, path: str, query: dict, timeout_s: float, decoder: Decoder):
        if self._session is None:
            connector = BoundedConnector(AnswerMemory(MAX_REPLY_BYTES, MAX_OPEN_REPLY_BYTES))
            self._session = ClientSession(connector=connector, auto_decompress=False)
        timeout = ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.get(
                self._base_url + path, params=query, timeout=timeout
            ) as response:
                body = await response.read()
        except (ClientError, OSError, TimeoutError, ValueError) as error:
            raise StoreError(type(error).__name__) from error
        if response.status == HISTORY_GONE_STATUS:
            raise HistoryGoneError("the history is gone")
        if response.status != 200:
            raise StoreError(f"status {response.status}")
        try:
            return decoder.decode(body)
        except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError) as error:
            raise StoreError(str(error)) from error

    def _read_full_state(self, items: list[ItemBody]) -> tuple[PublishedUpdate, ...]:
        self._revisions.clear()
        self._updates_by_key.clear()
        self._items_by_key.clear()
        return tuple(self._read_items(items)[0])

    def _read_items(self, items: list[ItemBody]) -> tuple[list[PublishedUpdate], list[ItemBody]]:
        """Return the updates that are new to this client, and the items that hold them."""
        updates, changed = [], []
        for item in items:
            # Pages of one read differ in age: a watch from the revision of the first page repeats
            # changes that the last page contains, and would revert an upstream to an older state.
            if item.revision < self._revisions.get(item.key, 0):
                continue
            self._revisions[item.key] = item.revision
            update = self._read_item(item)
            if update is not None and update != self._updates_by_key.get(item.key):
                self._updates_by_key[item.key] = update
                self._items_by_key[item.key] = StoreItem(item.key, item.revision, item.value)
                updates.append(update)
                changed.append(item)
            if item.deleted:
                self._updates_by_key.pop(item.key, None)
                self._items_by_key.pop(item.key, None)
        return updates, changed

    def _read_item(self, item: ItemBody) -> PublishedUpdate | None:
        update = read_item(item.key, None if item.deleted else item.value)
        if not isinstance(update, UnreadableValue):
            return update
        self._log_unreadable(update)
        if update.key.startswith(UPSTREAM_PREFIX):
            return UpstreamWithdrawn(update.key.removeprefix(UPSTREAM_PREFIX))
        return None

    def _log_unreadable(self, unreadable: UnreadableValue) -> None:
        seen = (unreadable.key, unreadable.reason)
        if seen in self._logged_unreadable:
            return
        if len(self._logged_unreadable) > 1000:
            self._logged_unreadable.clear()
        self._logged_unreadable.add(seen)
        fields = {"key": unreadable.key, "reason": unreadable.reason}
        logger.warning("entry_skipped", extra={"fields": fields})


def _build_relayed_updates(
    from_revision: int, to_revision: int, items: list[ItemBody]
) -> StoreUpdates:
    relayable = [item for item in items if len(item.value or b"") <= MAX_RELAYED_BYTES]
    return StoreUpdates(
        from_revision,
        to_revision,
        tuple(StoreItem(item.key, item.revision, item.value) for item in relayable),
        is_cut=len(relayable) < len(items),
    )


def _may_be_truncated(events: list[ItemBody]) -> bool:
    """Return whether the store may have truncated a reply, so that the rest has to be requested.

    Failure: configurations of 400 KB are written in quick succession, and one or two fill a reply.
    The reply does not say that it is truncated; with a pause after each one the view falls behind
    by more than its bound. The next configuration is expected to be about as large as the largest
    in the reply.
    """
    if len(events) >= FULL_REPLY_EVENTS:
        return True
    sizes = [len(event.value or b"") * BASE64_GROWTH for event in events]
    return sum(sizes) + max(sizes, default=0.0) >= FULL_REPLY_BYTES
