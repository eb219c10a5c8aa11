"""Tests of the replies to callers over ASGI, without a socket."""

import asyncio
from unittest import IsolatedAsyncioTestCase

from geraniumlead.forwarding import Completed, ForwardedRequest, RelayedReply
from geraniumlead.routes import RequestLimits
from geraniumlead_server.forwarding_front import ForwardingApp


class FakeDriver:
    """A driver that answers every request with the same reply, or never."""

    def __init__(self, reply: RelayedReply | None) -> None:
        self.limits = RequestLimits(body_bytes=10)
        self.forwarder = type("Stopping", (), {"is_stopping": False})()
        self.submitted: list[ForwardedRequest] = []
        self.disconnected: list[int] = []
        self.written: list[int] = []
        self._reply = reply

    def next_key(self) -> int:
        return len(self.submitted) + 1

    def now_ms(self) -> float:
        return 0.0

    def submit(self, request: ForwardedRequest) -> asyncio.Future:
        self.submitted.append(request)
        future = asyncio.get_running_loop().create_future()
        if self._reply is not None:
            future.set_result(self._reply)
        return future

    def record_written(self, key: int) -> None:
        self.written.append(key)

    def handle_disconnect(self, key: int) -> None:
        self.disconnected.append(key)


class ForwardingAppTests(IsolatedAsyncioTestCase):
    async def call(self, driver: FakeDriver, *messages: dict, **changes) -> list[dict]:
        pending = list(messages)
        sent: list[dict] = []

        async def receive() -> dict:
            return pending.pop(0) if pending else {"type": "http.disconnect"}

        async def send(message: dict) -> None:
            sent.append(message)

        scope = {
            "method": "GET",
            "raw_path": b"/a",
            "query_string": b"",
            "headers": [(b"host", b"x"), (b"request-id", b"r1")],
        }
        await ForwardingApp(driver)(scope | changes, receive, send)
        return sent

    async def test_answer_is_relayed_unchanged(self):
        headers = (("X-Own", "1"), ("X-Own", "2"), ("X-Name", "Jos\u00e9 \u4e2d"))
        driver = FakeDriver(RelayedReply(Completed(207, headers, b"body", "s")))
        start, end = await self.call(driver, {"type": "http.request"}, method="PURGE")
        self.assertEqual("PURGE", driver.submitted[0].method)
        self.assertEqual((207, b"body"), (start["status"], end["body"]))
        expected = [
            (b"X-Own", b"1"),
            (b"X-Own", b"2"),
            (b"X-Name", "Jos\u00e9 \u4e2d".encode()),
            (b"content-length", b"4"),
        ]
        self.assertEqual(expected, start["headers"])

    async def test_an_answer_without_content_has_no_length(self):
        driver = FakeDriver(RelayedReply(Completed(204, (), b"", "s")))
        start, _ = await self.call(driver, {"type": "http.request"})
        self.assertEqual([], start["headers"])

    async def test_body_over_the_limit_is_refused_with_and_without_content_length(self):
        announced = [(b"content-length", b"11")]
        pieces = [{"type": "http.request", "body": b"x" * 6, "more_body": True}] * 2
        for headers, messages in ((announced, []), ([], pieces)):
            driver = FakeDriver(None)
            start, _ = await self.call(driver, *messages, headers=headers)
            self.assertEqual(413, start["status"])
            self.assertEqual([], driver.submitted)

    async def test_caller_that_disconnects_gets_no_reply(self):
        """A caller closes its connection, before its body is complete or after that.

        The reply would not be read, and upstreams must not work for it.
        """
        driver = FakeDriver(None)
        piece = {"type": "http.request", "body": b"x", "more_body": True}
        self.assertEqual([], await self.call(driver, piece))
        self.assertEqual([], driver.submitted)
        self.assertEqual([], await self.call(driver, {"type": "http.request"}))
        self.assertEqual([1], driver.disconnected)
