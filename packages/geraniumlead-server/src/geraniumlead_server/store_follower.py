"""Follow the platform's store: one full read, then watch calls for what has changed since."""

import asyncio
import logging
from collections.abc import Callable
from random import Random

from msgspec.structs import replace

from geraniumlead.forwarding import PublishedUpdates, StoreLost
from geraniumlead.forwarding.updates import PublishedUpdate
from geraniumlead.peering import StoreReadState, StoreReadTiming, StoreReturn, StoreUpdates
from geraniumlead.peering.store_read_timing import SHORT_WATCH_MS, UPDATE_TIMEOUT_JITTER
from geraniumlead.published_upstreams import LAPSE_HOLD_MS
from geraniumlead_server.backoff import Backoff
from geraniumlead_server.platform import (
    HistoryGoneError,
    StoreChanges,
    StoreClient,
    StoreError,
)
from geraniumlead_server.store_callbacks import StoreCallbacks

MIN_WAIT_S = 0.001
"""A shorter wait may end at the time at which it began: an endless loop in virtual time."""

MAX_FIRST_READ_PAUSE_S = 0.5
"""Longest pause between retries before the first successful read: until then callers are refused,
and when an outage ends while all instances start, each tenth of a second counts."""

MAX_RECOVERY_PAUSE_S = 0.2
"""Longest pause between calls while the store has just come back and a service has no upstream:
callers are refused until the entries that had expired are there again."""

HOLD_SLACK_MS = 100.0
"""Time from the end of the hold of removals after an outage to the read that decides about them.
Peers know the end of the hold only to some milliseconds."""

MAX_CONFIRMATION_SPREAD_S = 0.3
"""Spread of the reads of instances that do not watch at the end of a hold: usually a watcher reads
before them and relays the result."""

OWN_SOURCE = "store"
"""Source of updates that this instance has read from the store itself."""

logger = logging.getLogger("geraniumlead")


class StoreFollower:
    """Reports the full state of the store, and then every change.

    While nothing changes, one long watch is the only call that an instance makes. Hundreds of
    upstreams that start together change their entries each second, so that each watch returns
    at once and costs a call. A pause between watches collects many changes into one call: the
    number of calls depends on the bounds only, not on the number of upstreams.

    Failure: the store rejects this instance's calls for seconds, and starting upstreams fill its
    history. With a pause after each reply, the instance catches up so slowly that it uses old
    routes for seconds more. The next call therefore follows a truncated reply at once, and after
    a long outage the state is read instead of its history.

    Failure: the store rejects the calls of an instance that has just started, or that has missed
    updates from its peers. The instance requests the state from a peer as soon as a call fails and
    its view is old, so that it serves its callers with the peers' view.

    An instance that is not a watcher receives the changes from the watchers of its data centre.
    It calls the store itself when the watchers are silent, or when an update follows a gap.
    """

    def __init__(
        self,
        client: StoreClient,
        bound_ms: float,
        report: Callable[[PublishedUpdates | StoreLost], None],
        random: Random,
        callbacks: StoreCallbacks | None = None,
    ) -> None:
        self._client = client
        self._timing = StoreReadTiming.from_bound(bound_ms)
        self._report = report
        self._random = random
        self._callbacks = callbacks or StoreCallbacks()
        self._as_of_s = float("-inf")
        self._call_due = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._backoff = Backoff(random, self._timing.max_retry_ms / 1000.0)
        self._revision: int | None = None
        self._call_state = StoreReadState(bound_ms)
        self._is_history_gone = False
        self._has_more = False
        self._is_reading_state = False
        self._is_changing = False
        self._unreported_return: StoreReturn | None = None

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            await asyncio.sleep(await self._call_store())
            await self._wait_until_call_due()

    def handle_relayed(self, relayed: StoreUpdates, source: str, delay_ms: float = 0.0) -> None:
        """Apply what another instance has read from the store.

        ``delay_ms`` is how much longer than usual the message took.

        Failure: a message of the watcher is lost, or this instance starts from an older state.
        The changes in between are unknown then, so the message is not applied.

        Failure: the store rejects this instance's calls, or has discarded the history that it
        would read. The last revision stays valid, so that updates of peers still apply to it.
        """
        revision = self._revision
        if self._is_reading_state or (revision is not None and relayed.to_revision < revision):
            return
        if revision is None and not relayed.is_state:
            return
        store_return = self._record_peer_outage(relayed, delay_ms)
        if not relayed.is_state and relayed.from_revision > revision:
            self._call_due.set()
            return
        updates = self._client.read_relayed(relayed)
        age_ms = relayed.age_ms + delay_ms
        if relayed.is_cut:
            # The omitted items still have to be read, so this does not make the view younger.
            age_ms = self._view_age_ms()
            self._call_due.set()
        else:
            self._revision = relayed.to_revision
            as_of_s = self._loop.time() - age_ms / 1000.0
            self._record_as_of(as_of_s)
            self._call_state.record_peer_update(as_of_s * 1000.0)
        self._report_updates(updates, relayed.is_state, age_ms, source, store_return)

    def _record_peer_outage(self, relayed: StoreUpdates, delay_ms: float) -> StoreReturn | None:
        """Record the outage that a peer tells of, if it does.

        A peer of an older version does not say how long ago the store returned.
        """
        if not relayed.is_after_outage:
            return None
        returned_age_ms = 0.0
        if relayed.returned_age_ms is not None:
            returned_age_ms = relayed.returned_age_ms + delay_ms
        now_ms = self._now_ms()
        return self._call_state.record_peer_outage(now_ms - returned_age_ms, now_ms)

    def _report_updates(
        self,
        updates: tuple[PublishedUpdate, ...],
        is_snapshot: bool,
        age_ms: float,
        source: str,
        store_return: StoreReturn | None,
    ) -> None:
        returned_age_ms = self._returned_age_ms()
        self._report(
            PublishedUpdates(updates, is_snapshot, age_ms, source, returned_age_ms, store_return)
        )

    def build_state_reply(self, beyond_revision: int | None) -> StoreUpdates | None:
        """Return what a peer at a revision does not know; None when this instance knows less.

        The reply holds the whole state that is known here, or no items when nothing has changed.
        None is also returned when this view is too old: the peer would count the reply as an update
        and wait for the whole update timeout again.
        """
        has_state = self._revision is not None and not self._is_reading_state
        age_ms = self._view_age_ms()
        if not has_state or age_ms >= self._timing.update_timeout_ms:
            return None
        if beyond_revision is not None and self._revision < beyond_revision:
            return None
        if beyond_revision == self._revision:
            updates = StoreUpdates(self._revision, self._revision)
        else:
            updates = self._client.export_state(self._revision)
        return self._stamp(updates, age_ms)

    def _view_age_ms(self) -> float:
        return (self._loop.time() - self._as_of_s) * 1000.0

    async def _wait_until_call_due(self) -> None:
        """Wait while other instances of the data centre relay what they have read.

        Failure: relayed updates arrive late, because their senders are slow, or were frozen after
        the read. The wait counts from when the store was called and not from when the update
        arrived, so a view is never taken for newer than it is.

        The wait has a random spread, so that one of the instances that receive no updates calls
        the store first; it relays what it reads, and the others need no call. A watcher whose
        calls the store rejects waits, too.
        """
        spread = 1.0 + UPDATE_TIMEOUT_JITTER * self._random.random()
        timeout_s = self._timing.update_timeout_ms / 1000.0 * spread
        confirmation_spread_s = MAX_CONFIRMATION_SPREAD_S * self._random.random()
        while not self._has_more:
            left_s = self._as_of_s + timeout_s - self._loop.time()
            left_s = min(left_s, self._confirmation_left_s() + confirmation_spread_s)
            is_watching = self._callbacks.is_watcher() and not self._call_state.has_failed
            if is_watching or left_s < MIN_WAIT_S:
                return
            try:
                await asyncio.wait_for(self._call_due.wait(), left_s)
            except TimeoutError:
                continue
            return

    def _is_overdue(self) -> bool:
        """Return whether the instances that read the store for this one have been silent."""
        is_late = self._view_age_ms() >= self._timing.update_timeout_ms
        return is_late and not self._callbacks.is_watcher()

    async def _call_store(self) -> float:
        """Make one call; return the pause until the next, in seconds."""
        call_started_s = self._loop.time()
        self._call_due.clear()
        self._call_state.record_call(call_started_s * 1000.0, self._is_overdue())
        is_snapshot = self._call_state.needs_state
        self._has_more = False
        changes = None
        try:
            if is_snapshot:
                updates = await self._read_state()
            else:
                changes = await self._watch()
                updates, self._has_more = changes.updates, changes.has_more
                # Meanwhile a watcher may have relayed later changes.
                self._revision = max(self._revision, changes.revision)
                self._is_history_gone = False
                self._is_changing = changes.waited_ms == 0.0
        except HistoryGoneError:
            return self._handle_history_gone(call_started_s)
        except StoreError as error:
            return self._handle_store_error(error)
        as_of_s = self._as_of_answer_s(call_started_s, changes)
        store_return = self._call_state.record_answer(is_snapshot, as_of_s * 1000.0, self._now_ms())
        store_return = self._unreported_return or store_return
        self._unreported_return = None
        if not self._is_history_gone:
            self._backoff.reset()
        self._record_as_of(as_of_s)
        age_ms = (self._loop.time() - as_of_s) * 1000.0
        self._report_updates(updates, is_snapshot, age_ms, OWN_SOURCE, store_return)
        if changes is not None:
            self._callbacks.relay(self._stamp(changes.relayed, age_ms))
        if self._has_more:
            return 0.0
        return self._pause_after(self._loop.time() - call_started_s)

    def _stamp(self, updates: StoreUpdates, age_ms: float) -> StoreUpdates:
        """Return updates as they are sent now, with the ages of what they tell."""
        returned_age_ms = self._returned_age_ms()
        return replace(
            updates,
            is_after_outage=returned_age_ms is not None,
            age_ms=age_ms,
            sent_ms=self._now_ms(),
            returned_age_ms=returned_age_ms,
        )

    def _as_of_answer_s(self, call_started_s: float, changes: StoreChanges | None) -> float:
        """Return a time at which the store is known to have been as it answered.

        An answer with changes may have been sent at any time since the call, and have waited
        unread. An answer without changes was sent when the wait of the watch was over.
        """
        waited_s = 0.0 if changes is None else changes.waited_ms / 1000.0
        return min(self._loop.time(), call_started_s + waited_s)

    def _record_as_of(self, as_of_s: float) -> None:
        self._as_of_s = max(self._as_of_s, as_of_s)

    async def _watch(self) -> StoreChanges:
        wait_ms = int(self._watch_wait_ms())
        return await self._client.watch(self._revision, wait_ms, self._timing.slack_ms)

    def _watch_wait_ms(self) -> float:
        if self._call_state.has_failed or not self._callbacks.is_watcher():
            return SHORT_WATCH_MS
        if self._callbacks.has_readers():
            return self._timing.relay_watch_ms
        return self._timing.batching_ms if self._is_changing else self._timing.watch_ms

    async def _read_state(self) -> tuple[PublishedUpdate, ...]:
        """Read the whole state.

        Updates that peers relay meanwhile are ignored; the watch that follows returns them.
        """
        self._is_reading_state = True
        try:
            updates, self._revision = await self._client.read_all(self._timing.read_timeout_ms)
        finally:
            self._is_reading_state = False
        return updates

    def _pause_after(self, waited_s: float) -> float:
        timing = self._timing
        pause_s = (
            timing.relay_watch_ms if self._callbacks.has_readers() else timing.batching_ms
        ) / 1000.0
        if self._is_recovering():
            return min(pause_s, MAX_RECOVERY_PAUSE_S)
        # A watch that waited this long has collected changes already.
        if waited_s >= timing.batching_ms / 1000.0:
            return 0.0
        pause_s *= 0.9 + 0.2 * self._random.random()
        return min(pause_s, max(MIN_WAIT_S, self._confirmation_left_s()))

    def _confirmation_left_s(self) -> float:
        """Return the time until a read has to confirm what was held after an outage.

        It is infinite if nothing is held that the view does not confirm already.
        """
        confirm_s = (self._call_state.returned_ms + LAPSE_HOLD_MS + HOLD_SLACK_MS) / 1000.0
        return float("inf") if self._as_of_s >= confirm_s else confirm_s - self._loop.time()

    def _is_recovering(self) -> bool:
        """Return whether entries may be missing and a service has no upstream."""
        may_lack = self._call_state.may_lack_entries(self._now_ms())
        return may_lack and self._callbacks.lacks_upstreams()

    def _returned_age_ms(self) -> float | None:
        """Return how long ago the store came back from an outage; None if it was not lately."""
        now_ms = self._now_ms()
        if not self._call_state.has_just_returned(now_ms):
            return None
        return now_ms - self._call_state.returned_ms

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def _handle_history_gone(self, call_started_s: float) -> float:
        """Read the whole state next; the store has answered, if without the changes."""
        logger.info("history_gone", extra={"fields": {"revision": self._revision}})
        self._unreported_return = self._call_state.record_answer(
            False, call_started_s * 1000.0, self._now_ms()
        )
        self._call_state.needs_state = True
        is_repeated = self._is_history_gone
        self._is_history_gone = True
        return self._backoff.next_pause_s() if is_repeated else 0.0

    def _handle_store_error(self, error: StoreError) -> float:
        self._report(StoreLost(str(error)))
        self._call_state.record_failure(self._now_ms())
        if self._view_age_ms() >= self._timing.update_timeout_ms:
            self._callbacks.request_state(self._revision)
        pause_s = self._backoff.next_pause_s()
        return pause_s if self._call_state.has_answered else min(MAX_FIRST_READ_PAUSE_S, pause_s)
