"""Test the metrics page of an instance on the platform."""

from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from geraniumlead_server.forwarding_telemetry import load_metrics_libraries
from geraniumlead_server.forwarding_telemetry.page import MetricsPage


class MetricsPageTests(IsolatedAsyncioTestCase):
    async def ask(self, path: str) -> list[dict]:
        sent: list[dict] = []

        async def send(message: dict) -> None:
            sent.append(message)

        page = MetricsPage()
        self.addCleanup(page.close)
        await page({"path": path}, None, send)
        return sent

    async def test_it_is_served_after_its_libraries_are_loaded_step_by_step(self):
        with patch("geraniumlead_server.forwarding_telemetry.loading.STEP_PAUSE_S", 0.0):
            await load_metrics_libraries()
        start, end = await self.ask("/metrics")
        self.assertEqual(200, start["status"])
        self.assertIn(b"python_info", end["body"])

    async def test_other_paths_are_not_found(self):
        start, _ = await self.ask("/other")
        self.assertEqual(404, start["status"])
