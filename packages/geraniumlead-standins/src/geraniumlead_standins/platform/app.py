import asyncio
from base64 import b64encode

from aiohttp import web
from msgspec.json import Decoder, decode, encode

from geraniumlead_standins.platform.faults import PlatformFaults
from geraniumlead_standins.platform.store import PlatformStore, StoredValue

MAX_BODY_BYTES = 4 * 1024 * 1024
WATCH_POLL_INTERVAL_S = 0.5
INSTANCE_LISTS = "geraniumlead/instances/"

_FAULTS = Decoder(PlatformFaults)


class PlatformApp:
    """A web application that serves the store like the etcd gateway.

    It answers range and watch requests and counts these calls. Additional paths publish
    documents, set faults and return the number of calls.
    """

    def __init__(self, store: PlatformStore) -> None:
        self._store = store
        self._changed = asyncio.Condition()
        self._lists_revision = 0
        self.calls = 0
        self.faults = PlatformFaults()

    def build(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/v3/kv/range", self._range)
        app.router.add_post("/v3/watch", self._watch)
        app.router.add_put("/publish", self._publish)
        app.router.add_put("/faults", self._set_faults)
        app.router.add_get("/calls", self._get_calls)
        return app

    async def _range(self, request: web.Request) -> web.Response:
        await self._begin_call()
        range_request = decode(await request.read())
        visible_revision = self._get_visible_revision()
        live = self._store.find_live(visible_revision, self._is_visible)
        count = str(len(live))
        if "limit" in range_request:
            live = sorted(live, key=lambda change: -change.revision)[: int(range_request["limit"])]
        kvs = [_render(change, with_value=not range_request.get("keys_only")) for change in live]
        answer = {"header": {"revision": str(visible_revision)}, "kvs": kvs, "count": count}
        return web.Response(body=encode(answer), content_type="application/json")

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        await self._begin_call()
        revision = int(decode(await request.read())["create_request"]["start_revision"])
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        header = {"revision": str(self._get_visible_revision())}
        await response.write(encode({"result": {"header": header, "created": True}}) + b"\n")
        while not self.faults.down:
            visible_revision = self._get_visible_revision()
            if visible_revision >= revision and not self.faults.silent_watches:
                changes = self._store.find_between(revision, visible_revision)
                events = [_render_event(change) for change in changes if self._is_visible(change)]
                result = {"header": {"revision": str(visible_revision)}, "events": events}
                revision = visible_revision + 1
                await response.write(encode({"result": result}) + b"\n")
            await self._wait_for_change()
        return response

    async def _wait_for_change(self) -> None:
        async with self._changed:
            try:
                await asyncio.wait_for(self._changed.wait(), WATCH_POLL_INTERVAL_S)
            except TimeoutError:
                return

    async def _publish(self, request: web.Request) -> web.Response:
        body = decode(await request.read())
        for key, value in body.items():
            self._store.put(key, None if value is None else encode(value))
        await self._notify()
        return web.json_response({"revision": self._store.revision})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = _FAULTS.decode(await request.read())
        self._lists_revision = self._store.revision
        if self.faults.restore_revision is not None:
            self._store.restore(self.faults.restore_revision)
        await self._notify()
        return web.Response(body=encode(self.faults), content_type="application/json")

    async def _get_calls(self, request: web.Request) -> web.Response:
        return web.json_response({"calls": self.calls, "revision": self._store.revision})

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _begin_call(self) -> None:
        self.calls += 1
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000.0)
        if self.faults.over_budget:
            raise web.HTTPTooManyRequests
        if self.faults.down:
            raise web.HTTPServiceUnavailable

    def _get_visible_revision(self) -> int:
        if self.faults.stale_revision is None:
            return self._store.revision
        return min(self.faults.stale_revision, self._store.revision)

    def _is_visible(self, change: StoredValue) -> bool:
        is_list = change.key.startswith(INSTANCE_LISTS)
        return not (self.faults.lists_lag and is_list and change.revision > self._lists_revision)


def _render(change: StoredValue, with_value: bool = True) -> dict:
    rendered = {
        "key": b64encode(change.key.encode()).decode(),
        "mod_revision": str(change.revision),
    }
    if change.value is not None and with_value:
        rendered["value"] = b64encode(change.value).decode()
    return rendered


def _render_event(change: StoredValue) -> dict:
    if change.value is None:
        return {"type": "DELETE", "kv": _render(change)}
    return {"kv": _render(change)}
