"""Keep the configuration coming: one full read, then a watch from its revision."""

import asyncio
from collections.abc import Callable
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec import DecodeError
from msgspec.json import Decoder

from geraniumlead.documents import VersionedValue
from geraniumlead.events import DocumentsReceived, PlatformSilent
from geraniumlead_server.platform_client.wire import RangeResponse, WatchLine, prefix_range

READ_TIMEOUT_S = 3.0
SILENT_WATCH_S = 20.0
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 5.0
LINE_LIMIT_BYTES = 8 * 1024 * 1024

_RANGE = Decoder(RangeResponse)
_WATCH = Decoder(WatchLine)


class PlatformClient:
    """Read the platform while asked to, over whichever of its addresses answers."""

    def __init__(
        self,
        addresses: list[str],
        report: Callable[[DocumentsReceived | PlatformSilent], None],
        random: Random,
    ) -> None:
        self._addresses = addresses
        self._report = report
        self._random = random
        self._task: asyncio.Task | None = None
        self._reads: dict[int, asyncio.Task] = {}
        self._session: ClientSession | None = None

    def watch(self, read_number: int) -> None:
        """Read anew and watch from there; a watch that runs is replaced."""
        self.stop()
        self._task = asyncio.get_running_loop().create_task(self._follow(read_number))

    def read_once(self, read_number: int) -> None:
        """Make one full read, unless one with this number runs."""
        if read_number in self._reads:
            return
        task = asyncio.get_running_loop().create_task(self._read_and_report(read_number))
        self._reads[read_number] = task
        task.add_done_callback(lambda _: self._reads.pop(read_number, None))

    def stop(self) -> None:
        """End the watch."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def close(self) -> None:
        """End the watch and close the connections."""
        self.stop()
        if self._session is not None:
            await self._session.close()

    async def _follow(self, read_number: int) -> None:
        pause_s = FIRST_PAUSE_S
        attempt = 0
        while True:
            address = self._addresses[attempt % len(self._addresses)]
            attempt += 1
            try:
                revision = await self._read(address, read_number)
                pause_s = FIRST_PAUSE_S
                await self._watch(address, revision + 1)
            except (ClientError, OSError, TimeoutError, DecodeError, ValueError) as error:
                self._report(PlatformSilent(f"{address}: {type(error).__name__}"))
            # Spread, so that the readers do not all return to a platform that came back.
            await asyncio.sleep(pause_s * (0.5 + self._random.random()))
            pause_s = min(LONGEST_PAUSE_S, pause_s * 2)

    async def _read_and_report(self, read_number: int) -> None:
        address = self._random.choice(self._addresses)
        try:
            await self._read(address, read_number)
        except (ClientError, OSError, TimeoutError, DecodeError) as error:
            self._report(PlatformSilent(f"{address}: {type(error).__name__}"))

    async def _read(self, address: str, read_number: int) -> int:
        async with self._client().post(
            f"http://{address}/v3/kv/range",
            json=prefix_range(),
            timeout=ClientTimeout(total=READ_TIMEOUT_S),
        ) as response:
            response.raise_for_status()
            found = _RANGE.decode(await response.read())
        revision = int(found.header.revision)
        documents = tuple(item.to_versioned() for item in found.kvs)
        self._report(DocumentsReceived(revision, documents, True, read_number))
        return revision

    async def _watch(self, address: str, from_revision: int) -> None:
        create = prefix_range() | {"start_revision": str(from_revision), "progress_notify": True}
        async with self._client().post(
            f"http://{address}/v3/watch",
            json={"create_request": create},
            timeout=ClientTimeout(
                total=None, sock_connect=READ_TIMEOUT_S, sock_read=SILENT_WATCH_S
            ),
        ) as response:
            response.raise_for_status()
            async for line in response.content:
                result = _WATCH.decode(line).result
                if result.canceled:
                    # The revision was compacted away: only a full read can close the gap.
                    return
                documents = tuple(_versioned_of(event) for event in result.events)
                revision = int(result.header.revision)
                self._report(DocumentsReceived(revision, documents, is_snapshot=False))

    def _client(self) -> ClientSession:
        if self._session is None:
            self._session = ClientSession(read_bufsize=LINE_LIMIT_BYTES)
        return self._session


def _versioned_of(event) -> VersionedValue:
    return event.kv.to_deletion() if event.type == "DELETE" else event.kv.to_versioned()
