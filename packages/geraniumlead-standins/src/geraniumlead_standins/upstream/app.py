"""Answer subqueries as one upstream server does."""

import asyncio
import math
from random import Random

from aiohttp import web
from msgspec.json import decode

from geraniumlead_standins.history import HistoryWriter
from geraniumlead_standins.upstream.server_plan import ServerPlan

FALL_OVER_S = 2.0
QUEUED_PER_SLOT = 8


class UpstreamApp:
    """Serve one upstream: slots, shedding, cold start, drain, versions and straggling."""

    def __init__(self, plan: ServerPlan, random: Random, history: HistoryWriter) -> None:
        self.plan = plan
        self._random = random
        self._history = history
        self._slots = asyncio.Semaphore(plan.slots)
        self._running = 0
        self._cold_answers_left = plan.cold_answers
        self._down_until_s = 0.0
        self.is_draining = False
        self.slowdown = 1.0

    def build(self) -> web.Application:
        """Return the web application."""
        app = web.Application()
        app.router.add_post("/v1/subqueries", self._answer)
        return app

    def turn_cold(self, answers: int) -> None:
        """Start cold again, without warning."""
        self._cold_answers_left = answers

    async def _answer(self, request: web.Request) -> web.Response:
        body = decode(await request.read())
        self._history.write(
            "received", **{name: body[name] for name in ("call_id", "request_id", "shard")}
        )
        refusal = self._refuse(body, request)
        if refusal is not None:
            return refusal
        self._running += 1
        try:
            async with self._slots:
                await asyncio.sleep(self._draw_service_s())
        finally:
            self._running -= 1
        return self._give_records(body)

    def _refuse(self, body: dict, request: web.Request) -> web.Response | None:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._down_until_s:
            request.transport.abort()
            raise asyncio.CancelledError
        if self.is_draining:
            return web.json_response({"error": "draining"}, status=503)
        shards = self.plan.holds.get(str(body["index_version"]), [])
        if body["shard"] not in shards:
            held = sorted(int(version) for version in self.plan.holds)
            return web.json_response({"error": "wrong_version", "held_versions": held}, status=409)
        if self._cold_answers_left > 0 and self._running >= self.plan.cold_allowance:
            self._history.write("fell_over", running=self._running)
            self._down_until_s = now_s + FALL_OVER_S
            request.transport.abort()
            raise asyncio.CancelledError
        if self._running >= self.plan.slots * QUEUED_PER_SLOT:
            return web.json_response({"error": "shed", "retry_after_ms": 20}, status=503)
        return None

    def _draw_service_s(self) -> float:
        drawn_ms = self._random.lognormvariate(math.log(self.plan.median_ms), self.plan.sigma)
        return drawn_ms * self.slowdown / 1000.0

    def _give_records(self, body: dict) -> web.Response:
        was_cold = self._cold_answers_left > 0
        self._cold_answers_left = max(0, self._cold_answers_left - 1)
        version, shard = body["index_version"], body["shard"]
        records = [{"id": f"v{version}-s{shard}", "upstream": self.plan.upstream_id}]
        self._history.write(
            "ran", call_id=body["call_id"], request_id=body["request_id"], query=body["query"]
        )
        return web.json_response(
            {"index_version": version, "shard": shard, "records": records, "cold": was_cold}
        )
