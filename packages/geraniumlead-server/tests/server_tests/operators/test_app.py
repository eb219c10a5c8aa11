"""Test the operators' interface."""

import re
from unittest import IsolatedAsyncioTestCase

from falcon.testing import ASGIConductor

from geraniumlead.events import QueryArrived
from geraniumlead.requests import CallerRequest
from geraniumlead_server.operators import RecentRequests, build_operators_app
from geraniumlead_server.telemetry import MetricsPage, RequestMetrics
from server_tests.builders import build_driver


class OperatorsAppTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.driver = build_driver()
        self.recent = RecentRequests()
        self.metrics_page = MetricsPage()
        self.addCleanup(self.metrics_page.close)
        metrics = RequestMetrics(self.driver.instance, self.metrics_page.reader, self.driver.now_ms)
        self.driver.arrival_observers.append(self.recent.record_arrival)
        self.driver.observers += [self.recent.observe, metrics.observe]
        self.app = build_operators_app(self.driver, self.recent, self.metrics_page)

    async def get(self, path):
        async with ASGIConductor(self.app) as conductor:
            return await conductor.simulate_get(path)

    async def ask(self, request_id):
        now_ms = self.driver.now_ms()
        request = CallerRequest(request_id, "acme", "lookup", b"1", now_ms, now_ms + 500, 1.0)
        await self.driver.run_query(QueryArrived(request))

    async def test_shows_the_revision_in_force(self):
        result = await self.get("/v1/status")
        self.assertEqual((result.json["revision"], result.json["ready"]), (7, True))

    async def test_shows_the_upstreams_that_were_called(self):
        await self.ask("mine.1")
        upstreams = (await self.get("/v1/status")).json["upstreams"]
        self.assertEqual(set(upstreams), {"ledger-0", "ledger-1", "ledger-2"})
        self.assertEqual(upstreams["ledger-0"]["data_centre"], "noord")

    async def test_shows_documents_without_digests(self):
        result = await self.get("/v1/documents?kind=contracts")
        contract = result.json["documents"]["geraniumlead/contracts/acme"]
        self.assertEqual(contract["customer"], "acme")
        self.assertNotIn("credentials_sha256", contract)
        self.assertEqual((await self.get("/v1/documents?kind=x")).status_code, 400)

    async def test_explains_a_request_by_the_callers_identifier(self):
        await self.ask("mine.1")
        await self.ask("mine.2")
        found = (await self.get("/v1/requests/mine")).json["requests"]
        self.assertEqual([item["outcome"] for item in found], ["whole", "whole"])
        self.assertEqual((await self.get("/v1/requests/other")).status_code, 404)

    async def test_only_reads(self):
        async with ASGIConductor(self.app) as conductor:
            for path in ("/v1/status", "/v1/documents", "/v1/requests/x", "/metrics"):
                result = await conductor.simulate_put(path, body=b"{}")
                self.assertEqual(result.status_code, 405)

    async def test_metrics_page_has_contract_and_class(self):
        await self.ask("mine.1")
        text = (await self.get("/metrics")).text
        self.assertIn('geraniumlead_requests_total{class="lookup",contract="acme"', text)
        self.assertIn('geraniumlead_coverage_share_count{class="lookup",contract="acme"', text)
        revision = re.search(r"^geraniumlead_config_revision(?:{.*})? (.*)$", text, re.MULTILINE)
        self.assertEqual(revision[1], "7.0")
