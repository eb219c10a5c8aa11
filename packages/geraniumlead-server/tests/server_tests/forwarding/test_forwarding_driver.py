"""Test what an exception in one event does to the others."""

import asyncio
import logging
from random import Random
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from geraniumlead.forwarding import (
    AttemptEnded,
    Completed,
    ConfigurationSeen,
    ForwardedRequest,
    Forwarder,
    ForwardingSettings,
    OwnReply,
    PublishedUpdates,
    RequestCheckError,
    StartAttempt,
    UpstreamSeen,
)
from geraniumlead.forwarding.request_runner import RequestRunner
from geraniumlead.published_upstreams import UpstreamRecord
from geraniumlead.routes import (
    OneService,
    PublishedConfiguration,
    Route,
    RouteTable,
    UpstreamService,
)
from geraniumlead_server.forwarding_driver import ForwardingDriver

TIMEOUT_MS = 150.0
MAX_WAIT_S = 5.0
BROKEN = "broken"


def build_request(key: int, request_id: str, now_ms: float) -> ForwardedRequest:
    return ForwardedRequest(
        key=key,
        request_id=request_id,
        method="GET",
        host="search.example",
        path="/pages/1",
        target="/pages/1",
        headers=(),
        body=b"",
        arrived_ms=now_ms,
        wait_ms=TIMEOUT_MS,
    )


def build_updates() -> PublishedUpdates:
    route = Route(
        name="pages",
        host="search.example",
        prefix="/pages/",
        target=OneService("reader"),
        is_idempotent=True,
        timeout_ms=TIMEOUT_MS,
        latency_goal_ms=100.0,
        priority=1,
        max_upstreams=1,
        allowed_regions=frozenset(),
    )
    services = {"reader": UpstreamService("reader", 26, 0.0)}
    configuration = PublishedConfiguration(1, RouteTable((route,)), services)
    upstream = UpstreamRecord(
        upstream_id="r-1",
        service="reader",
        address="10.9.0.1:80",
        data_centre="noord-a",
        slots=8,
        is_ready=True,
    )
    return PublishedUpdates((ConfigurationSeen(configuration), UpstreamSeen(upstream)), True)


class FailedEventTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # The runner of the whole suite disables logging; these tests check log lines.
        before = logging.root.manager.disable
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, before)
        self.started: list[StartAttempt] = []
        settings = ForwardingSettings("entry-1", "noord-a", address="10.1.0.1:1")
        loop = asyncio.get_running_loop()
        forwarder = Forwarder(settings, Random(1), loop.time() * 1000.0)
        self.driver = ForwardingDriver(forwarder, self.carry_out)
        self.driver.handle(build_updates())
        self.fail_checks = patch.object(RequestRunner, "_check", self.check_or_fail)
        self.check = RequestRunner._check

    def carry_out(self, action) -> None:
        if isinstance(action, StartAttempt):
            self.started.append(action)

    def check_or_fail(self, open_request, now_ms: float) -> None:
        if open_request.request.request_id == BROKEN:
            raise KeyError(BROKEN)
        self.check(self.driver.forwarder._runner, open_request, now_ms)

    def submit(self, request_id: str) -> asyncio.Future:
        request = build_request(self.driver.next_key(), request_id, self.driver.now_ms())
        return self.driver.submit(request)

    async def test_a_failed_timer_ends_its_own_request_only(self):
        """Guards against an exception that takes the timer, and so the ends of all requests."""
        with self.fail_checks, self.assertLogs("geraniumlead", "ERROR") as logs:
            broken, sound = self.submit(BROKEN), self.submit("sound")
            async with asyncio.timeout(MAX_WAIT_S):
                reply = await sound
                with self.assertRaises(RequestCheckError):
                    await broken
        self.assertIsInstance(reply, OwnReply)
        self.assertEqual(1, self.driver.failed_events)
        self.assertEqual(BROKEN, logs.records[0].fields["request_id"])

    async def test_a_request_that_fails_at_its_start_gets_an_error_at_once(self):
        """Guards against a caller that waits for nothing, while other requests are served."""
        with (
            patch.object(RequestRunner, "start", side_effect=KeyError(BROKEN)),
            self.assertLogs("geraniumlead", "ERROR"),
        ):
            broken = self.submit(BROKEN)
        self.assertIsInstance(broken.exception(), KeyError)
        sound = self.submit("sound")
        answer = Completed(200, (), b"answer", "signature")
        self.driver.handle(AttemptEnded(self.started[-1].attempt_id, answer))
        self.assertEqual(answer, (await sound).answer)

    async def test_an_event_that_fails_each_time_does_not_spin(self):
        """Guards against a timer that fails and is due again at once, and takes the whole core."""
        with (
            patch.object(Forwarder, "handle", side_effect=KeyError(BROKEN)),
            patch.object(Forwarder, "next_wake_ms", return_value=0.0),
            self.assertLogs("geraniumlead", "ERROR"),
        ):
            self.driver.handle(build_updates())
            await asyncio.sleep(0.35)
        self.assertLessEqual(2, self.driver.failed_events)
        self.assertLessEqual(self.driver.failed_events, 4)
