"""Serve the store as the gateway does, and let an operator publish."""

import asyncio
from base64 import b64encode

from aiohttp import web
from msgspec.json import decode, encode

from geraniumlead_standins.platform.store import PlatformStore, StoredValue

HEARTBEAT_S = 5.0


class PlatformApp:
    """Answer range and watch requests; count every call."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store
        self._changed = asyncio.Condition()
        self.calls = 0
        self.is_down = False

    def build(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        app.router.add_post("/v3/kv/range", self._range)
        app.router.add_post("/v3/watch", self._watch)
        app.router.add_put("/publish", self._publish)
        app.router.add_put("/faults", self._set_faults)
        return app

    async def _range(self, request: web.Request) -> web.Response:
        self._count_call()
        kvs = [_render(change) for change in self._store.find_live()]
        header = {"revision": str(self._store.revision)}
        return web.Response(
            body=encode({"header": header, "kvs": kvs}), content_type="application/json"
        )

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self._count_call()
        created = decode(await request.read())["create_request"]
        revision = int(created["start_revision"])
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        while not self.is_down:
            changes = self._store.find_since(revision)
            events = [_render_event(change) for change in changes]
            header = {"revision": str(self._store.revision)}
            revision = self._store.revision + 1
            line = encode({"result": {"header": header, "events": events}})
            await response.write(line + b"\n")
            await self._wait_for(revision)
        return response

    async def _wait_for(self, revision: int) -> None:
        async with self._changed:
            try:
                await asyncio.wait_for(
                    self._changed.wait_for(
                        lambda: self._store.revision >= revision or self.is_down
                    ),
                    HEARTBEAT_S,
                )
            except TimeoutError:
                return

    async def _publish(self, request: web.Request) -> web.Response:
        body = decode(await request.read())
        for key, value in body.items():
            self._store.put(key, None if value is None else encode(value))
        async with self._changed:
            self._changed.notify_all()
        return web.json_response({"revision": self._store.revision})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.is_down = decode(await request.read()).get("down", False)
        async with self._changed:
            self._changed.notify_all()
        return web.json_response({"down": self.is_down})

    def _count_call(self) -> None:
        self.calls += 1
        if self.is_down:
            raise web.HTTPServiceUnavailable


def _render(change: StoredValue) -> dict:
    rendered = {
        "key": b64encode(change.key.encode()).decode(),
        "mod_revision": str(change.revision),
    }
    if change.value is not None:
        rendered["value"] = b64encode(change.value).decode()
    return rendered


def _render_event(change: StoredValue) -> dict:
    if change.value is None:
        return {"type": "DELETE", "kv": _render(change)}
    return {"kv": _render(change)}
