"""Tests of attempts over loopback connections, with and without faults."""

import asyncio
import gc
import socket
import time
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from geraniumlead.forwarding import (
    AttemptEnded,
    Completed,
    Deadline,
    ForwardedRequest,
    NotExecuted,
    NotReached,
    NotSent,
    PossiblyExecuted,
    StartAttempt,
)
from geraniumlead.published_upstreams import UpstreamRecord
from geraniumlead_server.forwarding_client import AttemptClient, client
from geraniumlead_standins.forwarding import StubUpstream, UpstreamFault
from geraniumlead_standins.testing.free_ports import find_free_port

MAX_WAIT_S = 5.0


class SlowReceiver:
    """A server that accepts one connection and reads nothing until it is told to."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self._connection: socket.socket | None = None

    async def wait_until_full(self) -> None:
        """Accept the connection and wait until the kernel's buffers are full."""
        self._connection, _ = await asyncio.get_running_loop().sock_accept(self._listener)
        await asyncio.sleep(0.2)

    async def receive_all(self) -> int:
        """Read to the end of the connection or its reset; return how many bytes came."""
        loop, count = asyncio.get_running_loop(), 0
        try:
            while data := await loop.sock_recv(self._connection, 65_536):
                count += len(data)
        except ConnectionResetError:
            pass
        return count

    def close(self) -> None:
        """Close the sockets."""
        self._listener.close()
        if self._connection is not None:
            self._connection.close()


class AttemptClientTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstream = await StubUpstream("i-1").start()
        self.results: dict[int, object] = {}
        self.client = AttemptClient(self._record_result)
        self.number = 0

    async def asyncTearDown(self):
        await self.client.close()
        await self.upstream.stop()

    def _record_result(self, event: AttemptEnded) -> None:
        self.results[event.attempt_id] = event.result

    def start(
        self,
        method: str = "GET",
        upstream_id: str = "i-1",
        address: str = "",
        left_ms: float = 900.0,
        body: bytes = b"body",
    ) -> int:
        self.number += 1
        request = ForwardedRequest(
            key=self.number,
            request_id=f"r{self.number}",
            method=method,
            host="search.example",
            path="/pages/a%2Fb",
            target="/pages/a%2Fb?x=%20",
            headers=(("host", "search.example"), ("request-id", f"r{self.number}")),
            body=body if method == "POST" else b"",
            arrived_ms=0.0,
            wait_ms=1_000.0,
        )
        address = address or self.upstream.address
        record = UpstreamRecord(upstream_id, "reader", address, "noord-a", 2, True)
        end_ms = asyncio.get_running_loop().time() * 1000.0 + left_ms
        deadline = Deadline(end_ms, end_ms)
        self.client.start(StartAttempt(self.number, record, request, deadline))
        return self.number

    async def run_attempt(self, **options):
        return await self.wait_for_result(self.start(**options))

    async def wait_for_result(self, number: int):
        async with asyncio.timeout(MAX_WAIT_S):
            while number not in self.results:
                await asyncio.sleep(0.005)
        return self.results[number]

    async def test_a_request_arrives_unchanged(self):
        result = await self.run_attempt(method="POST")
        self.assertTrue(result.is_success)
        self.assertEqual(b"answer", result.body)
        (seen,) = self.upstream.ran
        self.assertEqual("/pages/a%2Fb?x=%20", seen.raw_path)
        self.assertEqual("search.example", seen.headers["Host"])
        self.assertTrue(800 < int(seen.headers["Deadline-Ms"]) <= 900)
        self.assertEqual([b"body"], self.upstream.bodies)

    async def test_a_pooled_connection_keeps_nothing_of_the_request_that_opened_it(self):
        """Guards against a body of the largest size in memory for each pooled connection."""
        await self.run_attempt(method="POST", body=b"x" * 100_000)
        await self.run_attempt(method="POST", body=b"next")
        pooled = self.client._get_session().connector._conns.values()
        self.assertEqual([1], [len(connections) for connections in pooled])
        self.results.clear()
        await asyncio.sleep(0.05)
        gc.collect()
        kept = [found for found in gc.get_objects() if isinstance(found, ForwardedRequest)]
        self.assertEqual([], [len(request.body) for request in kept])

    async def test_an_attempt_that_is_written_late_gets_what_is_left_then(self):
        """Guards against a time that is fixed at the decision and written after a busy loop."""
        number = self.start()
        time.sleep(0.3)
        await self.wait_for_result(number)
        (seen,) = self.upstream.ran
        self.assertLessEqual(int(seen.headers["Deadline-Ms"]), 600)

    async def test_an_attempt_without_time_is_not_written_and_keeps_its_connection(self):
        """Guards against an upstream that works with 1 ms for a request whose end has passed."""
        await self.run_attempt()
        self.assertEqual(NotSent(), await self.run_attempt(left_ms=0.5))
        self.assertEqual(NotSent(), await self.run_attempt(left_ms=-300.0))
        self.assertEqual(1, len(self.upstream.ran))
        await self.run_attempt()
        first, second = self.upstream.ran
        self.assertIs(first.protocol, second.protocol)

    async def test_late_duplicate_answer_does_not_reach_the_next_request(self):
        """An upstream answers a request twice, the second time on the idle connection.

        If that were taken for the answer to the next request on the connection, one caller would
        receive the answer of another.
        """
        self.upstream.fault = UpstreamFault.EXTRA_LATE
        await self.run_attempt()
        await asyncio.sleep(0.15)
        self.upstream.fault = UpstreamFault.NONE
        result = await self.run_attempt()
        self.assertEqual(b"answer", result.body)
        self.assertIn(("Request-Id", "r2"), result.headers)

    async def test_duplicate_answer_during_the_next_request_is_dropped_by_its_id(self):
        self.upstream.fault = UpstreamFault.EXTRA_LATE
        await self.run_attempt()
        self.upstream.delay_s = 0.2
        result = await self.run_attempt()
        self.assertEqual(b"answer", result.body)
        self.assertIn(("Request-Id", "r2"), result.headers)

    async def test_get_is_not_retried_after_a_connection_reset(self):
        """A kept-alive connection is reset during a GET that must not be repeated.

        By default aiohttp retries a GET, and the request would run twice.
        """
        await self.run_attempt()
        self.upstream.fault = UpstreamFault.RESET
        self.assertIsInstance(await self.run_attempt(), PossiblyExecuted)
        self.assertEqual(2, len(self.upstream.ran))

    async def test_incomplete_answers_are_not_accepted(self):
        for fault in (UpstreamFault.CUT, UpstreamFault.UNFRAMED_RESET, UpstreamFault.ENCODED):
            self.upstream.fault = fault
            self.assertIsInstance(await self.run_attempt(), PossiblyExecuted, fault)

    async def test_rejections_are_distinguished_from_failures(self):
        self.upstream.fault = UpstreamFault.SHED
        self.assertEqual(NotExecuted(503), await self.run_attempt())
        self.upstream.fault = UpstreamFault.FAIL
        result = await self.run_attempt()
        self.assertIsInstance(result, Completed)
        self.assertEqual(500, result.status)

    async def test_other_upstream_at_the_address_does_not_run_the_request(self):
        result = await self.run_attempt(upstream_id="i-gone")
        self.assertEqual(NotExecuted(421, is_other_upstream=True), result)
        self.assertEqual([], self.upstream.ran)

    async def test_refused_connection_means_not_reached(self):
        result = await self.run_attempt(address=f"127.0.0.1:{find_free_port()}")
        self.assertIsInstance(result, NotReached)

    async def test_an_attempt_that_cannot_be_written_is_not_reached(self):
        """Guards against a 502 and a suspected crash for a request that was never sent.

        An entry of an upstream has an address or an id that no URL, connection or header can hold.
        """
        port = self.upstream.address.partition(":")[2]
        addresses = (
            "127.0.0.1:99999",
            "127.0.0.1:0",
            "127.0.0.999:80",
            f"\u0661\u0662\u0667.0.0.1:{port}",
            "[::1:80",
            "127.0.0.1:80:80",
            "",
            " ",
        )
        for method in ("GET", "POST"):
            for address in addresses:
                with self.subTest(method=method, address=address):
                    options = {"method": method, "address": address or ":"}
                    self.assertIsInstance(await self.run_attempt(**options), NotReached)
            for upstream_id in ("i-1\r\nX-Other: 1", "i-1\n", "i-\x00"):
                with self.subTest(method=method, upstream_id=upstream_id):
                    result = await self.run_attempt(method=method, upstream_id=upstream_id)
                    self.assertIsInstance(result, NotReached)
        self.assertEqual([], self.upstream.ran)

    async def test_an_unforeseen_error_ends_the_attempt_with_a_result(self):
        """Guards against an attempt that nobody ends, whose request waits until its deadline."""
        error = OverflowError("port must be 0-65535")
        connector = self.client._get_session().connector
        with patch.object(type(connector), "connect", side_effect=error):
            self.assertEqual(NotReached("OverflowError"), await self.run_attempt())
        with patch.object(client, "read_answer", side_effect=error):
            self.assertEqual(PossiblyExecuted("OverflowError"), await self.run_attempt())

    async def test_bytes_of_a_cancelled_attempt_are_not_delivered_later(self):
        """Guards against a request that a cut holds up and that arrives after its caller has left.

        The upstream's side takes no more bytes when the attempt is cancelled, and all that is
        offered afterwards. The rest of the request must not follow.
        """
        slow = SlowReceiver()
        self.addCleanup(slow.close)
        body = bytes(8_000_000)
        number = self.start(method="POST", address=slow.address, body=body)
        await slow.wait_until_full()
        self.client.cancel(number)
        await asyncio.sleep(0.05)
        self.assertLess(await slow.receive_all(), len(body))

    async def test_a_cancelled_attempt_closes_its_connection(self):
        self.upstream.fault = UpstreamFault.HANG
        number = self.start()
        while not self.upstream.ran:
            await asyncio.sleep(0.005)
        self.client.cancel(number)
        async with asyncio.timeout(MAX_WAIT_S):
            while not self.upstream.cancelled:
                await asyncio.sleep(0.005)
        self.assertNotIn(number, self.results)
