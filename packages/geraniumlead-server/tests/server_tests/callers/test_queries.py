"""Test the callers' interface with valid, malformed, oversized and unauthorized input."""

from unittest import IsolatedAsyncioTestCase

from falcon.testing import ASGIConductor

from geraniumlead.settings import LimitSettings
from geraniumlead_server.callers import build_callers_app
from server_tests.builders import CREDENTIAL, build_driver

AUTHORIZED = {"Authorization": f"Bearer {CREDENTIAL}"}
GOOD_BODY = b'{"class":"lookup","query":{"text":"x"}}'


class QueriesTests(IsolatedAsyncioTestCase):
    async def post(self, body=GOOD_BODY, headers=AUTHORIZED, path="/v1/queries"):
        app = build_callers_app(build_driver())
        async with ASGIConductor(app) as conductor:
            return await conductor.simulate_post(path, body=body, headers=headers)

    async def test_returns_a_whole_answer(self):
        result = await self.post()
        self.assertEqual(result.status_code, 200, result.text)
        self.assertEqual(result.json["outcome"], "whole")
        self.assertEqual(result.json["coverage"], {"asked": 3, "answered": 3, "missing": []})
        self.assertEqual(result.json["records"][0]["id"], "v1-s0")

    async def test_keeps_the_callers_request_id(self):
        result = await self.post(headers=AUTHORIZED | {"X-Request-Id": "mine-7"})
        self.assertTrue(result.headers["x-request-id"].startswith("mine-7."))

    async def test_every_wrong_credential_gets_the_same_answer(self):
        wrong = [
            {},
            {"Authorization": "Bearer wrong"},
            {"Authorization": "Basic abc"},
            {"Authorization": CREDENTIAL},
        ]
        for headers in wrong:
            with self.subTest(headers=headers):
                result = await self.post(headers=headers)
                self.assertEqual(result.status_code, 401)
                self.assertEqual(result.json, {"title": "unauthorized"})

    async def test_refuses_malformed_bodies(self):
        bodies = {
            "empty": b"",
            "no json": b"{",
            "list": b"[]",
            "unknown field": b'{"class":"lookup","query":1,"colour":1}',
            "unknown class": b'{"class":"other","query":1}',
            "wrong type": b'{"class":"lookup","query":1,"deadline_ms":"200ms"}',
            "wrong utf-8": b'{"class":"lookup","query":"\xff"}',
            "cut off": GOOD_BODY[:-1],
            "nested": b'{"class":"lookup","query":' + b"[" * 500 + b"]" * 500 + b"}",
        }
        for name, body in bodies.items():
            with self.subTest(name=name):
                self.assertEqual((await self.post(body)).status_code, 400)

    async def test_refuses_a_malformed_request_id(self):
        result = await self.post(headers=AUTHORIZED | {"X-Request-Id": 'a"b c'})
        self.assertEqual(result.status_code, 400)

    async def test_refuses_an_oversized_body(self):
        body = b'{"class":"lookup","query":"' + b"x" * 3000 + b'"}'
        result = await self.post(body)
        self.assertEqual(result.status_code, 413)
        self.assertEqual(result.headers["connection"], "close")

    async def test_refuses_a_query_of_too_many_shards(self):
        app = build_callers_app(build_driver(limits=LimitSettings(fan_out_shards=2)))
        async with ASGIConductor(app) as conductor:
            result = await conductor.simulate_post(
                "/v1/queries", body=GOOD_BODY, headers=AUTHORIZED
            )
        self.assertEqual((result.status_code, result.json["reason"]), (422, "fan_out"))

    async def test_a_booking_needs_a_ticket(self):
        body = b'{"class":"booking","query":{},"key":"k"}'
        result = await self.post(body)
        self.assertEqual((result.status_code, result.json["reason"]), (400, "ticket_needed"))

    async def test_a_booking_with_a_ticket_runs_once(self):
        app = build_callers_app(build_driver())
        async with ASGIConductor(app) as conductor:
            given = await conductor.simulate_post(
                "/v1/tickets", body=b'{"class":"booking"}', headers=AUTHORIZED
            )
            self.assertEqual(given.status_code, 201)
            body = b'{"class":"booking","query":{},"key":"k","ticket":"%s"}'
            body %= given.json["ticket"].encode()
            first = await conductor.simulate_post("/v1/queries", body=body, headers=AUTHORIZED)
            again = await conductor.simulate_post("/v1/queries", body=body, headers=AUTHORIZED)
        self.assertEqual(first.json["outcome"], "whole")
        self.assertEqual(again.json["records"], first.json["records"])
