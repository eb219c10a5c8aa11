"""Test calls to an upstream on a loopback port."""

import asyncio
from unittest import IsolatedAsyncioTestCase

from aiohttp import web

from geraniumlead.actions import CallUpstream
from geraniumlead.events import UpstreamAnswered, UpstreamDisconnected
from geraniumlead.upstreams import NotReached, Records, Subquery, TimedOut
from geraniumlead_server.upstream_client import UpstreamClient
from geraniumlead_standins.testing.free_ports import find_free_port

MAX_WAIT_S = 5.0
REMAINING_MS = web.AppKey("remaining_ms", list)
"""The times that the calls which were answered were handed."""


def build_action(call_id: str, address: str, query: bytes = b"{}", **changes) -> CallUpstream:
    subquery = Subquery(call_id, "r1", "ledger-0", "ledger", 1, 0, 1_000.0, query)
    values = {"timeout_ms": 2_000.0, "connections": 2, "overdue_ms": 60.0}
    return CallUpstream(call_id, address, subquery, **(values | changes))


async def answer(request: web.Request) -> web.Response:
    body = await request.read()
    if b"silent" in body:
        await asyncio.sleep(MAX_WAIT_S)
    if b"slow" in body:
        await asyncio.sleep(0.3)
    request.app[REMAINING_MS].append(float(request.headers["X-Remaining-Ms"]))
    return web.json_response({"index_version": 1, "shard": 0, "records": []})


class UpstreamClientTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        app = web.Application()
        app.router.add_post("/v1/subqueries", answer)
        self.remaining_ms = app[REMAINING_MS] = []
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        self.address = f"127.0.0.1:{find_free_port()}"
        await web.TCPSite(self.runner, "127.0.0.1", int(self.address.split(":")[1])).start()
        self.events: list[UpstreamAnswered | UpstreamDisconnected] = []
        self.client = UpstreamClient(self.events.append)

    async def asyncTearDown(self):
        await self.client.close()
        await self.runner.cleanup()

    async def wait_for_events(self, count: int) -> None:
        async with asyncio.timeout(MAX_WAIT_S):
            while len(self.events) < count:
                await asyncio.sleep(0.005)

    async def test_a_call_that_cannot_be_written_is_not_reached(self):
        """Guards against a call that nobody ends, since its upstream's address is no address."""
        addresses = ("127.0.0.1:99999", "127.0.0.999:80", "[::1:80", "::1]:80", "1:2:3")
        for number, address in enumerate(addresses, start=1):
            with self.subTest(address=address):
                self.client.call(build_action(f"c{number}", address, overdue_ms=None))
                async with asyncio.timeout(1.0):
                    await self.wait_for_events(number)
                self.assertIsInstance(self.events[-1].answer, NotReached)
        self.assertEqual([], self.remaining_ms)

    async def test_overdue_call_ends_when_other_connections_answer(self):
        """One connection has gone silent while the upstream answers on another.

        Without the check its caller would wait until the deadline, and so would the next
        caller that gets the connection.
        """
        self.client.call(build_action("c1", self.address, b'"silent"'))
        await asyncio.sleep(0.01)
        self.client.call(build_action("c2", self.address))
        await self.wait_for_events(2)
        self.assertIsInstance(self.events[0].answer, Records)
        self.assertEqual(UpstreamAnswered("c1", TimedOut(silent_connection=True)), self.events[1])

    async def test_overdue_call_goes_on_when_nothing_else_answers(self):
        self.client.call(build_action("c1", self.address, b'"silent"', timeout_ms=250.0))
        await self.wait_for_events(1)
        self.assertEqual([UpstreamAnswered("c1", TimedOut())], self.events)

    async def test_a_call_that_waits_for_a_connection_gets_what_is_left(self):
        """Guards against an upstream that works on after its caller has left.

        The upstream's only connection is taken for 300 ms, and the time was fixed before.
        """
        options = {"connections": 1, "overdue_ms": None}
        self.client.call(build_action("c1", self.address, b'"slow"', **options))
        self.client.call(build_action("c2", self.address, timeout_ms=600.0, **options))
        self.client.call(build_action("c3", self.address, timeout_ms=200.0, **options))
        await self.wait_for_events(3)
        self.assertEqual(2, len(self.remaining_ms))
        self.assertLessEqual(self.remaining_ms[1], 300.0)

    async def test_upstream_that_closes_an_idle_connection_is_reported(self):
        """An upstream restarts while it is idle.

        Without the report the next calls of all owners would reach it at the same time while
        it is cold.
        """
        self.client.call(build_action("c1", self.address))
        await self.wait_for_events(1)
        await self.runner.cleanup()
        await self.wait_for_events(2)
        self.assertEqual(UpstreamDisconnected("ledger-0"), self.events[1])

    async def test_own_close_is_not_reported(self):
        self.client.call(build_action("c1", self.address))
        await self.wait_for_events(1)
        await self.client.close()
        await asyncio.sleep(0.02)
        self.assertEqual(1, len(self.events))
