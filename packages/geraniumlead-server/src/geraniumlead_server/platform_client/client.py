"""Follow the published documents: one full read, then a watch from its revision."""

import asyncio
from collections.abc import Callable
from random import Random

from aiohttp import ClientSession, ClientTimeout
from msgspec.json import Decoder

from geraniumlead.documents import VersionedValue
from geraniumlead.events import DocumentsReceived, PlatformReadFailed
from geraniumlead_server.answer_memory import read_limited
from geraniumlead_server.backoff import Backoff
from geraniumlead_server.platform_client.call_budget import CallBudget
from geraniumlead_server.platform_client.errors import PLATFORM_ERRORS
from geraniumlead_server.platform_client.seen_keys import SeenKeys
from geraniumlead_server.platform_client.wire import (
    RangeResponse,
    WatchLine,
    newest_key_range,
    prefix_range,
)

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 3.0
WATCH_CHECK_INTERVAL_S = 1.0
"""A silent watch is detected after two checks, well within the time allowed for a change."""

MAX_LINE_BYTES = 8 * 1024 * 1024

MAX_RANGE_BYTES = 32 * 1024 * 1024
"""Longest reply to a read of all documents."""

_RANGE = Decoder(RangeResponse)
_WATCH = Decoder(WatchLine)
_READ_TIMEOUT = ClientTimeout(total=READ_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
_WATCH_TIMEOUT = ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


class PlatformClient:
    """Reads and watches the platform's documents on request, at any address that answers."""

    def __init__(
        self,
        addresses: list[str],
        report: Callable[[DocumentsReceived | PlatformReadFailed], None],
        random: Random,
    ) -> None:
        self._addresses = random.sample(addresses, len(addresses))
        self._report = report
        self._random = random
        self._watch_task: asyncio.Task | None = None
        self._read_tasks: dict[int, asyncio.Task] = {}
        self._session: ClientSession | None = None
        self._budget = CallBudget(asyncio.get_running_loop().time())

    def watch(self, read_number: int) -> None:
        """Read everything and watch from that revision, replacing a running watch."""
        self.stop()
        self._watch_task = asyncio.get_running_loop().create_task(self._read_and_watch(read_number))

    def read_once(self, read_number: int) -> None:
        """Start one full read, unless one with this number is running."""
        if read_number in self._read_tasks:
            return
        task = asyncio.get_running_loop().create_task(self._read_from_any_address(read_number))
        self._read_tasks[read_number] = task
        task.add_done_callback(lambda _: self._read_tasks.pop(read_number, None))

    def stop(self) -> None:
        """Stop the watch."""
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None

    async def close(self) -> None:
        """Cancel all calls and close the connections."""
        self.stop()
        for task in list(self._read_tasks.values()):
            task.cancel()
        if self._session is not None:
            await self._session.close()

    async def _read_and_watch(self, read_number: int) -> None:
        backoff = Backoff(self._random)
        while True:
            address = self._next_address()
            try:
                seen = await self._read(address, read_number)
                backoff.reset()
                await self._watch_and_check(address, seen)
            except PLATFORM_ERRORS as error:
                self._report(PlatformReadFailed(f"{address}: {type(error).__name__}"))
            await asyncio.sleep(backoff.next_pause_s())

    async def _read_from_any_address(self, read_number: int) -> None:
        for _ in self._addresses:
            address = self._next_address()
            try:
                await self._read(address, read_number)
                return
            except PLATFORM_ERRORS as error:
                self._report(PlatformReadFailed(f"{address}: {type(error).__name__}"))

    async def _read(self, address: str, read_number: int) -> SeenKeys:
        found = await self._read_range(address, prefix_range())
        revision = int(found.header.revision)
        documents = tuple(item.to_versioned() for item in found.kvs)
        seen = SeenKeys()
        seen.update(documents, revision, is_snapshot=True)
        self._report(DocumentsReceived(revision, documents, True, read_number))
        return seen

    async def _watch_and_check(self, address: str, seen: SeenKeys) -> None:
        tasks = [
            asyncio.create_task(self._watch(address, seen)),
            asyncio.create_task(self._check_watch(address, seen)),
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _watch(self, address: str, seen: SeenKeys) -> None:
        create = prefix_range() | {"start_revision": str(seen.revision + 1)}
        await self._wait_for_budget()
        async with self._get_session().post(
            f"http://{address}/v3/watch", json={"create_request": create}, timeout=_WATCH_TIMEOUT
        ) as response:
            response.raise_for_status()
            async for line in response.content:
                result = _WATCH.decode(line).result
                if result.canceled:
                    # The revision was compacted: only a full read returns the missing changes.
                    return
                if not result.events:
                    continue
                documents = tuple(_to_versioned_value(event) for event in result.events)
                previous_revision, revision = seen.revision, int(result.header.revision)
                seen.update(documents, revision, is_snapshot=False)
                self._report(
                    DocumentsReceived(revision, documents, False, above_revision=previous_revision)
                )

    async def _check_watch(self, address: str, seen: SeenKeys) -> None:
        mismatches = 0
        while mismatches < 2:
            await asyncio.sleep(WATCH_CHECK_INTERVAL_S)
            found = await self._read_range(address, newest_key_range())
            if int(found.header.revision) < seen.revision:
                # An old copy of the store answers, for instance after a restore: new changes get
                # revisions below the one that the watch waits for, so only a new read finds them.
                return
            newest = int(found.kvs[0].mod_revision) if found.kvs else 0
            if seen.matches(newest, int(found.count)):
                mismatches = 0
                revision = seen.revision
                self._report(DocumentsReceived(revision, (), False, above_revision=revision))
            else:
                # The watch may be about to deliver the change; at the second mismatch it is silent.
                mismatches += 1

    async def _read_range(self, address: str, selection: dict) -> RangeResponse:
        await self._wait_for_budget()
        async with self._get_session().post(
            f"http://{address}/v3/kv/range", json=selection, timeout=_READ_TIMEOUT
        ) as response:
            response.raise_for_status()
            return _RANGE.decode(await read_limited(response, MAX_RANGE_BYTES))

    async def _wait_for_budget(self) -> None:
        wait_s = self._budget.reserve(asyncio.get_running_loop().time())
        if wait_s > 0.0:
            await asyncio.sleep(wait_s)

    def _next_address(self) -> str:
        self._addresses.append(self._addresses.pop(0))
        return self._addresses[-1]

    def _get_session(self) -> ClientSession:
        if self._session is None:
            self._session = ClientSession(read_bufsize=MAX_LINE_BYTES)
        return self._session


def _to_versioned_value(event) -> VersionedValue:
    return event.kv.to_deletion() if event.type == "DELETE" else event.kv.to_versioned()
