"""Keep the view of the platform's store fresh: one full read, then what changed since."""

import asyncio
import logging
from collections.abc import Callable
from random import Random

from msgspec.structs import replace

from geraniumlead.forwarding import PublishedUpdates, StoreLost
from geraniumlead.forwarding.updates import PublishedUpdate
from geraniumlead.peering import StoreReadState, StoreReadTiming, StoreUpdates
from geraniumlead.peering.store_read_timing import SHORT_WATCH_MS, UPDATE_TIMEOUT_JITTER
from geraniumlead_server.backoff import Backoff
from geraniumlead_server.platform import (
    HistoryGoneError,
    StoreChanges,
    StoreClient,
    StoreError,
)
from geraniumlead_server.store_duty import StoreDuty

LEAST_WAIT_S = 0.001
"""A shorter wait may end at the time at which it began, for ever where time is virtual."""

FIRST_READ_PAUSE_S = 0.5
"""Longest pause between tries before the first reading: until then callers are refused, and
after an outage that ends while all instances start, each tenth of a second counts."""

RETURN_PAUSE_S = 0.2
"""Pause between calls while the store has just come back and a service has no upstream: callers
are refused until what had lapsed is there again."""

logger = logging.getLogger("geraniumlead")


class StoreFollower:
    """Report everything that stands in the store, and then every change.

    While nothing changes, a watch waits for long and is all that an instance asks. Hundreds of
    upstreams that start together change their entries each second, so that a watch returns at
    once and at the price of a call; a pause between watches gathers many changes into one: the
    calls depend on the bounds only, not on how many upstreams there are.

    Failure: the store turns this instance away for seconds, and starting upstreams fill its
    history. Caught up a reply at a time with a pause after each, it followed old routes for
    seconds more. A reply that was cut is followed at once, and after a long outage the state is
    read in place of its history.

    Failure: the store turns an instance away that has just started, or has missed what its peers
    told. It asks a peer for the state as soon as a call fails and its view is old, so that its
    callers are served by what the others know.

    Who does not watch hears from the watchers of its data centre what changed, and asks the
    store itself when they are silent, or tell of changes from after a gap.
    """

    def __init__(
        self,
        client: StoreClient,
        bound_ms: float,
        report: Callable[[PublishedUpdates | StoreLost], None],
        random: Random,
        duty: StoreDuty | None = None,
    ) -> None:
        self._client = client
        self._pace = StoreReadTiming.from_bound(bound_ms)
        self._report = report
        self._random = random
        self._duty = duty or StoreDuty()
        self._as_of_s = float("-inf")
        self._is_due = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._backoff = Backoff(random, self._pace.max_retry_ms / 1000.0)
        self._revision: int | None = None
        self._contact = StoreReadState()
        self._is_history_short = False
        self._has_more = False
        self._is_reading_state = False
        self._is_told_of_outage = False
        self._is_changing = False

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            await asyncio.sleep(await self._ask())
            await self._wait_until_due()

    def take_relayed(self, relayed: StoreUpdates, source: str, delay_ms: float = 0.0) -> None:
        """Take over what another instance has read; it came so much later than usual.

        Failure: a message of the watcher is lost, or this instance begins with an older state.
        What lies between is unknown then, so it counts as not heard.

        Failure: the store turns this instance away, or has forgotten the history that it would
        read. The last revision stays valid, so that what peers tell still fits to it.
        """
        revision = self._revision
        if self._is_reading_state or (revision is not None and relayed.to_revision < revision):
            return
        if revision is None and not relayed.is_state:
            return
        if not relayed.is_state and relayed.from_revision > revision:
            self._is_told_of_outage = relayed.is_after_outage
            self._is_due.set()
            return
        news = self._client.read_relayed(relayed)
        age_ms = relayed.age_ms + delay_ms
        if relayed.is_cut:
            # What was left out has to be read, so the view is no younger by this.
            age_ms = self._view_age_ms()
            self._is_due.set()
        else:
            self._revision = relayed.to_revision
            self._note_as_of(self._loop.time() - age_ms / 1000.0)
            self._contact.record_peer_update()
        is_after_outage = relayed.is_after_outage
        self._report(PublishedUpdates(news, relayed.is_state, is_after_outage, age_ms, source))

    def tell_state(self, beyond_revision: int | None) -> StoreUpdates | None:
        """Return what one who asks does not know; None when this instance knows less.

        That is all that is known here, or the word that nothing has changed. A view that is too
        old is not passed on: whoever asked would wait for its patience again.
        """
        is_known = self._revision is not None and not self._is_reading_state
        age_ms = self._view_age_ms()
        if not is_known or age_ms >= self._pace.update_timeout_ms:
            return None
        if beyond_revision is not None and self._revision < beyond_revision:
            return None
        if beyond_revision == self._revision:
            news = StoreUpdates(self._revision, self._revision)
        else:
            news = self._client.tell_state(self._revision)
        return replace(
            news,
            is_after_outage=self._has_returned(),
            age_ms=age_ms,
            sent_ms=self._now_ms(),
        )

    def _view_age_ms(self) -> float:
        return (self._loop.time() - self._as_of_s) * 1000.0

    async def _wait_until_due(self) -> None:
        """Wait while others of the data centre tell what they have read.

        Failure: what they tell comes late, for they are slow, or were frozen after reading it.
        The wait counts from when the store was asked and not from when it was heard, so a view
        is never taken for newer than it is.

        The time is spread, so that one of those who hear nothing asks first; what it reads it
        passes on, and the others need not ask. A watcher that the store turns away waits, too.
        """
        spread = 1.0 + UPDATE_TIMEOUT_JITTER * self._random.random()
        patience_s = self._pace.update_timeout_ms / 1000.0 * spread
        while not self._has_more:
            left_s = self._as_of_s + patience_s - self._loop.time()
            is_on_duty = self._duty.is_watcher() and not self._contact.has_failed
            if is_on_duty or left_s < LEAST_WAIT_S:
                return
            try:
                await asyncio.wait_for(self._is_due.wait(), left_s)
            except TimeoutError:
                continue
            return

    async def _ask(self) -> float:
        """Make one call; return the pause until the next, in seconds."""
        asked_s = self._loop.time()
        self._is_due.clear()
        self._contact.record_call(asked_s * 1000.0)
        is_snapshot = self._contact.needs_state
        self._has_more = False
        changes = None
        try:
            if is_snapshot:
                news = await self._read_state()
            else:
                changes = await self._watch()
                news, self._has_more = changes.news, changes.has_more
                # Meanwhile a watcher may have told of later changes.
                self._revision = max(self._revision, changes.revision)
                self._is_history_short = False
                self._is_changing = changes.waited_ms == 0.0
        except HistoryGoneError:
            return self._note_history_gone()
        except StoreError as error:
            return self._note_lost(error)
        self._contact.record_answer(is_snapshot, self._now_ms())
        if not self._is_history_short:
            self._backoff.reset()
        as_of_s = self._as_of_answer_s(asked_s, changes)
        self._note_as_of(as_of_s)
        age_ms = (self._loop.time() - as_of_s) * 1000.0
        is_after_outage, self._is_told_of_outage = self._is_told_of_outage, False
        self._report(PublishedUpdates(news, is_snapshot, is_after_outage, age_ms))
        if changes is not None:
            self._relay(changes.relayed, age_ms)
        if self._has_more:
            return 0.0
        return self._pause_after(self._loop.time() - asked_s)

    def _relay(self, news: StoreUpdates, age_ms: float) -> None:
        is_after_outage = self._has_returned()
        self._duty.relay(
            replace(news, is_after_outage=is_after_outage, age_ms=age_ms, sent_ms=self._now_ms())
        )

    def _as_of_answer_s(self, asked_s: float, changes: StoreChanges | None) -> float:
        """Return a time at which the store was surely as it answered.

        An answer with changes came at once or any time later, and may have lain unread. One
        without came when the wait was over.
        """
        waited_s = 0.0 if changes is None else changes.waited_ms / 1000.0
        return min(self._loop.time(), asked_s + waited_s)

    def _note_as_of(self, as_of_s: float) -> None:
        self._as_of_s = max(self._as_of_s, as_of_s)

    async def _watch(self) -> StoreChanges:
        wait_ms = int(self._watch_wait_ms())
        return await self._client.watch(self._revision, wait_ms, self._pace.slack_ms)

    def _watch_wait_ms(self) -> float:
        if self._contact.has_failed or not self._duty.is_watcher():
            return SHORT_WATCH_MS
        if self._duty.has_readers():
            return self._pace.relay_watch_ms
        return self._pace.batching_ms if self._is_changing else self._pace.watch_ms

    async def _read_state(self) -> tuple[PublishedUpdate, ...]:
        """Read everything anew; what peers tell meanwhile is read in the watch that follows."""
        self._is_reading_state = True
        try:
            news, self._revision = await self._client.read_all(self._pace.read_timeout_ms)
        finally:
            self._is_reading_state = False
        return news

    def _pause_after(self, waited_s: float) -> float:
        pace = self._pace
        pause_s = (pace.relay_watch_ms if self._duty.has_readers() else pace.batching_ms) / 1000.0
        if self._is_returning():
            return min(pause_s, RETURN_PAUSE_S)
        # A watch that waited in vain has gathered already.
        has_waited = waited_s >= pace.batching_ms / 1000.0
        return 0.0 if has_waited else pause_s * (0.9 + 0.2 * self._random.random())

    def _is_returning(self) -> bool:
        """Return whether the store has just come back, and entries are still missing."""
        return self._has_returned() and self._duty.lacks_upstreams()

    def _has_returned(self) -> bool:
        return self._contact.has_just_returned(self._now_ms())

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def _note_history_gone(self) -> float:
        logger.info("history_gone", extra={"fields": {"revision": self._revision}})
        self._contact.needs_state = True
        is_second = self._is_history_short
        self._is_history_short = True
        return self._backoff.next_pause_s() if is_second else 0.0

    def _note_lost(self, error: StoreError) -> float:
        self._report(StoreLost(str(error)))
        self._contact.record_failure(self._now_ms())
        if self._view_age_ms() >= self._pace.update_timeout_ms:
            self._duty.ask_state(self._revision)
        pause_s = self._backoff.next_pause_s()
        return pause_s if self._contact.has_answered else min(FIRST_READ_PAUSE_S, pause_s)
