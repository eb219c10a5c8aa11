"""Tests that the demo can read the history that the upstream stand-in writes."""

from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase

from aiohttp.test_utils import TestClient, TestServer

from geraniumlead_standins.demo.extra_load import measure_extra_load
from geraniumlead_standins.demo.verdict import evaluate_run, read_lines
from geraniumlead_standins.history import HistoryWriter
from geraniumlead_standins.upstream.app import UpstreamApp
from geraniumlead_standins.upstream.server_plan import ServerPlan
from standins_tests.demo.builders import build_sent


class UpstreamHistoryTests(IsolatedAsyncioTestCase):
    async def test_a_booking_that_runs_twice_is_found(self):
        """A booking that an instance sends twice runs twice, since upstreams do not deduplicate.

        The demo has to detect this in lines written by the stand-in, not only in lines that the
        tests build.
        """
        plan = ServerPlan(
            upstream_id="noord-booking-0-1",
            address="127.0.0.1:1",
            service="booking",
            slots=2,
            connections=2,
            median_ms=0.01,
            holds={"1": [0]},
        )
        with TemporaryDirectory() as folder:
            path = Path(folder) / "noord.history.jsonl"
            app = UpstreamApp(plan, Random(1), HistoryWriter(path, plan.upstream_id))
            async with TestClient(TestServer(app.build())) as client:
                for number in range(2):
                    body = {
                        "call_id": f"noord-1.a.{number}",
                        "request_id": "booking-0.x",
                        "service": "booking",
                        "index_version": 1,
                        "shard": 0,
                        "query": {"token": "booking-0"},
                    }
                    async with client.post("/v1/subqueries", json=body) as response:
                        self.assertEqual(response.status, 200)
            lines = read_lines(path)
        verdict = evaluate_run([build_sent()], lines, "zuid", {})
        self.assertEqual((verdict.bookings_run, verdict.doubled_bookings), (1, 1))
        self.assertEqual((verdict.lost_bookings, verdict.subqueries), (0, 2))
        self.assertEqual(measure_extra_load(lines), {"booking": 1.0})
