import asyncio
import math
from random import Random

from aiohttp import web
from msgspec.json import decode, encode

from geraniumlead_standins.history import HistoryWriter
from geraniumlead_standins.upstream.server_plan import ServerPlan

DOWNTIME_AFTER_CRASH_S = 2.0
SILENCE_DURATION_S = 3_600.0
CRASH_TEXT = b'"crash"'
MAX_QUEUED_PER_SLOT = 8


class UpstreamApp:
    """A stand-in for one upstream server that answers subqueries.

    It simulates slots, load shedding, cold starts, draining, index versions and stragglers.
    """

    def __init__(self, plan: ServerPlan, random: Random, history: HistoryWriter) -> None:
        self.plan = plan
        self._random = random
        self._history = history
        self._slots = asyncio.Semaphore(plan.slots)
        self._running = 0
        self._cold_answers_left = plan.cold_answers
        self._down_until_s = 0.0
        self.is_draining = False
        self.is_silent = False
        self.answers_newest = False
        self.slowdown = 1.0

    def build(self) -> web.Application:
        """Return the web application."""
        app = web.Application()
        app.router.add_post("/v1/subqueries", self._handle_subquery)
        return app

    def turn_cold(self, answers: int) -> None:
        """Make the server cold without announcing it, as after a restart."""
        self._cold_answers_left = answers
        self._history.write("turned_cold", allowance=self.plan.cold_allowance)

    async def _handle_subquery(self, request: web.Request) -> web.Response:
        body = decode(await request.read())
        if asyncio.get_running_loop().time() < self._down_until_s:
            request.transport.abort()
            raise asyncio.CancelledError
        self._record("received", body)
        try:
            return await self._execute(request, body)
        finally:
            self._record("ended", body)

    async def _execute(self, request: web.Request, body: dict) -> web.Response:
        refusal = self._find_refusal(body, request)
        if refusal is not None:
            return refusal
        self._running += 1
        try:
            remaining_s = float(request.headers.get("X-Remaining-Ms", "60000")) / 1000.0
            async with asyncio.timeout(remaining_s):
                async with self._slots:
                    self._record("started", body)
                    if CRASH_TEXT in encode(body["query"]):
                        self._crash("crashed", request, body)
                    await asyncio.sleep(self._draw_service_time_s())
        except TimeoutError:
            return web.json_response({"error": "deadline"}, status=504)
        finally:
            self._running -= 1
        answer = self._build_answer(body)
        if self.is_silent:
            await asyncio.sleep(SILENCE_DURATION_S)
        return answer

    def _find_refusal(self, body: dict, request: web.Request) -> web.Response | None:
        if self.is_draining:
            return web.json_response({"error": "draining"}, status=503)
        if self._find_version(body) is None:
            held = sorted(int(version) for version in self.plan.holds)
            return web.json_response({"error": "wrong_version", "held_versions": held}, status=409)
        if self._cold_answers_left > 0 and self._running >= self.plan.cold_allowance:
            self._crash("fell_over", request, body)
        if self._running >= self.plan.slots * MAX_QUEUED_PER_SLOT:
            return web.json_response({"error": "shed", "retry_after_ms": 20}, status=503)
        return None

    def _find_version(self, body: dict) -> int | None:
        requested = body["index_version"]
        if body["shard"] in self.plan.holds.get(str(requested), []):
            return requested
        held = [int(name) for name, shards in self.plan.holds.items() if body["shard"] in shards]
        return max(held) if held and self.answers_newest else None

    def _crash(self, event: str, request: web.Request, body: dict) -> None:
        self._record(event, body)
        self._down_until_s = asyncio.get_running_loop().time() + DOWNTIME_AFTER_CRASH_S
        request.transport.abort()
        raise asyncio.CancelledError

    def _record(self, event: str, body: dict, **fields) -> None:
        query = body["query"]
        self._history.write(
            event,
            call_id=body["call_id"],
            request_id=body["request_id"],
            instance=body["call_id"].split(".", 1)[0],
            token=query.get("token", "") if isinstance(query, dict) else "",
            shard=body["shard"],
            **({"index_version": body["index_version"]} | fields),
        )

    def _draw_service_time_s(self) -> float:
        drawn_ms = self._random.lognormvariate(math.log(self.plan.median_ms), self.plan.sigma)
        return drawn_ms * self.slowdown / 1000.0

    def _build_answer(self, body: dict) -> web.Response:
        was_cold = self._cold_answers_left > 0
        self._cold_answers_left = max(0, self._cold_answers_left - 1)
        if was_cold and not self._cold_answers_left:
            self._history.write("turned_warm")
        version, shard, query = self._find_version(body), body["shard"], body["query"]
        record = {
            "id": f"v{version}-s{shard}",
            "upstream": self.plan.upstream_id,
            "shard": shard,
            "version": version,
            "token": query.get("token", "") if isinstance(query, dict) else "",
        }
        self._record("ran", body, index_version=version, record_count=1)
        return web.json_response(
            {"index_version": version, "shard": shard, "records": [record], "cold": was_cold}
        )
