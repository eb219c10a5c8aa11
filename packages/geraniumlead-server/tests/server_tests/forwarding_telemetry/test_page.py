"""Tests of the metrics page of an instance on the platform."""

from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from geraniumlead_server.forwarding_telemetry import load_metrics_libraries
from geraniumlead_server.forwarding_telemetry.page import MetricsPage


class MetricsPageTests(IsolatedAsyncioTestCase):
    async def get(self, path: str) -> list[dict]:
        sent: list[dict] = []

        async def send(message: dict) -> None:
            sent.append(message)

        page = MetricsPage()
        self.addCleanup(page.close)
        await page({"path": path}, None, send)
        return sent

    async def test_page_is_served_after_the_libraries_are_loaded(self):
        with patch("geraniumlead_server.forwarding_telemetry.loading.STEP_PAUSE_S", 0.0):
            await load_metrics_libraries()
        start, end = await self.get("/metrics")
        self.assertEqual(200, start["status"])
        self.assertIn(b"python_info", end["body"])

    async def test_other_paths_are_not_found(self):
        start, _ = await self.get("/other")
        self.assertEqual(404, start["status"])
