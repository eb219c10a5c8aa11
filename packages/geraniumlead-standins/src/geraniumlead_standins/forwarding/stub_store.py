from aiohttp import web
from msgspec.json import encode

from geraniumlead_standins.forwarding.store_contents import StoreContents

PAGE_ITEMS = 50


class StubStore:
    """Serves ranges and watches over HTTP as the platform's store does.

    Only the owner of this object can write to the store. If ``status`` is set, every call
    fails with it; ``calls`` counts the calls.
    """

    def __init__(self) -> None:
        self.contents = StoreContents(PAGE_ITEMS)
        self.status: int | None = None
        self.calls = 0
        self.address = ""
        self.put = self.contents.put
        self.delete = self.contents.delete
        self.discard_history = self.contents.discard_history
        self._runner: web.AppRunner | None = None

    async def start(self) -> "StubStore":
        """Listen on a free loopback port."""
        app = web.Application()
        app.router.add_get("/-/kv-range", self._range)
        app.router.add_get("/-/kv-watch", self._watch)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = self._runner.addresses[0][1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _range(self, request: web.Request) -> web.Response:
        self.calls += 1
        if self.status is not None:
            return web.Response(status=self.status)
        return _json(self.contents.page(request.query["prefix"], request.query.get("after", "")))

    async def _watch(self, request: web.Request) -> web.Response:
        self.calls += 1
        if self.status is not None:
            return web.Response(status=self.status)
        wait_s = int(request.query["waitMs"]) / 1000.0
        body = await self.contents.changes(int(request.query["after"]), wait_s)
        return web.Response(status=410) if body is None else _json(body)


def _json(body: dict) -> web.Response:
    return web.Response(body=encode(body), content_type="application/json")
