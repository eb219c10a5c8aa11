import asyncio
from enum import Enum

from msgspec.json import Decoder, encode

from geraniumlead_server.platform import HistoryGoneError, StoreClient, StoreError
from geraniumlead_server.platform.names import RANGE_PATH
from geraniumlead_standins.forwarding.store_contents import StoreContents


class StoreAccess(Enum):
    """How the store treats the calls of one instance.

    Once ``DOWN``, it also ends those that wait for an answer.
    """

    OPEN = "open"
    REFUSING = "refusing"
    SILENT = "silent"
    DOWN = "down"


class VirtualStoreClient(StoreClient):
    """The store client of one instance, which reads the contents in the same process.

    Calls and answers take ``one_way_delay_s`` of virtual time each. ``access`` says how the
    store treats this instance, and ``calls`` counts its calls. While ``is_running`` is not
    set, the instance is suspended and does not read an answer.
    """

    def __init__(self, contents: StoreContents, one_way_delay_s: float) -> None:
        super().__init__("store.invalid:80")
        self._contents = contents
        self._one_way_delay_s = one_way_delay_s
        self.access = StoreAccess.OPEN
        self.calls = 0
        self.is_running = asyncio.Event()
        self.is_running.set()

    async def _call(self, path: str, query: dict, timeout_s: float, decoder: Decoder):
        self.calls += 1
        await asyncio.sleep(self._one_way_delay_s)
        try:
            answer = await asyncio.wait_for(self._answer(path, query, decoder), timeout_s)
        except TimeoutError as error:
            await self.is_running.wait()
            raise StoreError("TimeoutError") from error
        await self.is_running.wait()
        return answer

    async def _answer(self, path: str, query: dict, decoder: Decoder):
        if self.access is StoreAccess.REFUSING:
            raise StoreError("status 429")
        self._raise_if_down()
        if self.access is StoreAccess.SILENT:
            await asyncio.Event().wait()
        if path == RANGE_PATH:
            body = self._contents.page(query["prefix"], query.get("after", ""))
        else:
            wait_s = int(query["waitMs"]) / 1000.0
            body = await self._contents.changes(int(query["after"]), wait_s)
        if body is None:
            raise HistoryGoneError("the history is gone")
        if self.access is StoreAccess.SILENT:
            await asyncio.Event().wait()
        self._raise_if_down()
        await asyncio.sleep(self._one_way_delay_s)
        return decoder.decode(encode(body))

    def _raise_if_down(self) -> None:
        if self.access is StoreAccess.DOWN:
            raise StoreError("ClientOSError")
