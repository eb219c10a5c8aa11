"""Serve the store as the gateway does, and let an operator publish."""

import asyncio
from base64 import b64encode

from aiohttp import web
from msgspec.json import Decoder, decode, encode

from geraniumlead_standins.platform.faults import PlatformFaults
from geraniumlead_standins.platform.store import PlatformStore, StoredValue

LARGEST_BODY_BYTES = 4 * 1024 * 1024
WATCH_LOOK_S = 0.5
INSTANCE_LISTS = "geraniumlead/instances/"

_FAULTS = Decoder(PlatformFaults)


class PlatformApp:
    """Answer range and watch requests; count every call."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store
        self._changed = asyncio.Condition()
        self._lists_at = 0
        self.calls = 0
        self.faults = PlatformFaults()

    def build(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=LARGEST_BODY_BYTES)
        app.router.add_post("/v3/kv/range", self._range)
        app.router.add_post("/v3/watch", self._watch)
        app.router.add_put("/publish", self._publish)
        app.router.add_put("/faults", self._set_faults)
        app.router.add_get("/calls", self._show_calls)
        return app

    async def _range(self, request: web.Request) -> web.Response:
        await self._begin_call()
        selected = decode(await request.read())
        seen = self._seen_revision()
        live = self._store.find_live(seen, self._is_shown)
        count = str(len(live))
        if "limit" in selected:
            live = sorted(live, key=lambda change: -change.revision)[: int(selected["limit"])]
        kvs = [_render(change, with_value=not selected.get("keys_only")) for change in live]
        answer = {"header": {"revision": str(seen)}, "kvs": kvs, "count": count}
        return web.Response(body=encode(answer), content_type="application/json")

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        await self._begin_call()
        revision = int(decode(await request.read())["create_request"]["start_revision"])
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        header = {"revision": str(self._seen_revision())}
        await response.write(encode({"result": {"header": header, "created": True}}) + b"\n")
        while not self.faults.down:
            seen = self._seen_revision()
            if seen >= revision and not self.faults.silent_watches:
                changes = self._store.find_between(revision, seen)
                events = [_render_event(change) for change in changes if self._is_shown(change)]
                result = {"header": {"revision": str(seen)}, "events": events}
                revision = seen + 1
                await response.write(encode({"result": result}) + b"\n")
            await self._wait_for_change()
        return response

    async def _wait_for_change(self) -> None:
        async with self._changed:
            try:
                await asyncio.wait_for(self._changed.wait(), WATCH_LOOK_S)
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
        self._lists_at = self._store.revision
        if self.faults.restore_revision is not None:
            self._store.restore(self.faults.restore_revision)
        await self._notify()
        return web.Response(body=encode(self.faults), content_type="application/json")

    async def _show_calls(self, request: web.Request) -> web.Response:
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

    def _seen_revision(self) -> int:
        if self.faults.stale_revision is None:
            return self._store.revision
        return min(self.faults.stale_revision, self._store.revision)

    def _is_shown(self, change: StoredValue) -> bool:
        is_list = change.key.startswith(INSTANCE_LISTS)
        return not (self.faults.lists_lag and is_list and change.revision > self._lists_at)


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
