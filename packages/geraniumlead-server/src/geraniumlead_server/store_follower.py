"""Keep the view of the platform's store fresh: one full read, then what changed since."""

import asyncio
import logging
from collections.abc import Callable
from random import Random

from geraniumlead.forwarding import PublishedNews, StoreLost
from geraniumlead_server.backoff import Backoff
from geraniumlead_server.platform import HistoryGoneError, StoreClient, StoreError

WATCH_MS = 1_000
"""How long a watch waits for a change; upstreams' heartbeats seldom let it."""

PAUSE_PART = 4.0
"""Parts of the shortest bound in which the store is asked once: a change is known after a
quarter of the bound, and one lost answer still leaves it kept."""

FIRST_READ_PAUSE_S = 0.5
"""Longest pause between tries before the first reading: until then callers are refused, and
after an outage that ends while all instances start, each tenth of a second counts."""

logger = logging.getLogger("geraniumlead")


class StoreFollower:
    """Report everything that stands in the store, and then every change.

    Each upstream writes a heartbeat about each second, so a watch returns at once and at the
    price of a call. A pause between watches gathers many changes into one call: the calls of
    an instance depend on the bounds only, not on how many upstreams there are.
    """

    def __init__(
        self,
        client: StoreClient,
        bound_ms: float,
        report: Callable[[PublishedNews | StoreLost], None],
        random: Random,
    ) -> None:
        self._client = client
        self._pause_s = bound_ms / PAUSE_PART / 1000.0
        self._report = report
        self._random = random

    async def run(self) -> None:
        """Follow the store until cancelled."""
        backoff = Backoff(self._random)
        revision: int | None = None
        has_read = is_history_short = False
        while True:
            try:
                if revision is None:
                    news, revision = await self._client.read_all()
                    self._report(PublishedNews(news, is_snapshot=True))
                else:
                    news, revision = await self._client.watch(revision, WATCH_MS)
                    self._report(PublishedNews(news, is_snapshot=False))
                    is_history_short = False
            except HistoryGoneError:
                logger.info("history_gone", extra={"fields": {"revision": revision}})
                revision = None
                if is_history_short:
                    await asyncio.sleep(backoff.next_pause_s())
                is_history_short = True
                continue
            except StoreError as error:
                self._report(StoreLost(str(error)))
                pause_s = backoff.next_pause_s()
                await asyncio.sleep(pause_s if has_read else min(FIRST_READ_PAUSE_S, pause_s))
                continue
            has_read = True
            if not is_history_short:
                backoff.reset()
            await asyncio.sleep(self._pause_s * (0.9 + 0.2 * self._random.random()))
