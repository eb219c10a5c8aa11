"""Test requests that crash upstreams."""

from unittest import TestCase

from core_tests.forwarding.builders import (
    build_answer,
    build_configuration,
    build_fan_out,
    build_record,
    build_route,
    build_updates,
)
from core_tests.forwarding.harness import ForwarderHarness
from geraniumlead.crashes.crash_record import (
    INDEPENDENT_AFTER_MS,
    MAX_CRASHES,
    QUARANTINE_MS,
)
from geraniumlead.crashes.crash_tracker import PROBE_SPREAD_MS
from geraniumlead.forwarding import PeerMessageReceived, PossiblyExecuted
from geraniumlead.peering import CrashReport, CrashReports, LostProcess

LOST = PossiblyExecuted("reset", is_connection_lost=True)


class CrashingRequestTests(TestCase):
    def setUp(self):
        self.harness = ForwarderHarness()
        configuration = build_configuration(build_route(), build_fan_out(prefix="/all/"))
        shards = [f"shard-{number}" for number in range(4)]
        records = [build_record(f"reader-{number}") for number in range(9)]
        records += [build_record(f"{name}.{number}", name) for name in shards for number in (0, 1)]
        self.harness.handle(build_updates(configuration, *records))

    def crash(self, key: int, after_ms: float = 300.0) -> int:
        """Send the same request once more; return how many upstreams it crashed."""
        self.harness.run_until(self.harness.now_ms + after_ms)
        started = self.harness.ask(key)
        count = 0
        while started:
            count += 1
            started += self.harness.end(started.pop(0), LOST)
        return count

    def test_a_request_that_crashed_three_upstreams_is_refused(self):
        """A caller retries a crashing request, each time under a new id.

        Each attempt would make one or two more upstreams unavailable to all others for seconds.
        """
        crashed = sum(self.crash(key) for key in range(1, 10))
        self.assertEqual(MAX_CRASHES, crashed)
        reply = self.harness.replies[9]
        refused_ms = self.harness.now_ms - self.harness.started[-1].request.arrived_ms
        self.assertEqual((503, QUARANTINE_MS - refused_ms), (reply.status, reply.retry_after_ms))

    def test_tries_of_one_moment_crash_no_more_upstreams(self):
        """Guards against callers who all send the request before its crashes are told apart.

        One outage could have taken as many upstreams, so the refusal is short.
        """
        crashed = sum(self.crash(key, after_ms=0.0) for key in range(1, 10))
        self.assertEqual(MAX_CRASHES, crashed)
        reply = self.harness.replies[9]
        self.assertEqual((503, INDEPENDENT_AFTER_MS), (reply.status, reply.retry_after_ms))

    def test_other_requests_are_still_sent(self):
        for key in range(1, 4):
            self.crash(key)
        self.assertEqual(1, len(self.harness.ask(9, target="/pages/2", path="/pages/2")))

    def test_an_answer_clears_the_strikes_of_a_request(self):
        self.crash(1)
        (attempt,) = self.harness.ask(2)
        self.harness.end(attempt, build_answer())
        self.crash(3)
        self.assertEqual(1, len(self.harness.ask(4)))

    def test_queries_that_lose_some_shards_in_a_power_loss_are_not_refused(self):
        """Half of all upstreams lose power, and every query in flight loses several shards.

        The other shards answer, which clears the queries. Otherwise the most frequent queries would
        be refused for minutes because of the power loss. The third shard is sent again as soon as
        the first answer shows that the query does not crash every upstream that it reaches.
        """
        attempts = self.harness.ask(1, path="/all/1", target="/all/1")
        for attempt in attempts[:2]:
            self.assertEqual(1, len(self.harness.end(attempt, LOST)))
        self.assertEqual([], self.harness.end(attempts[2], LOST))
        (resent,) = self.harness.end(attempts[3], build_answer(b"x" * 16))
        self.assertEqual(attempts[2].upstream.service, resent.upstream.service)
        self.assertEqual(4, len(self.harness.ask(2, path="/all/1", target="/all/1")))

    def receive(self, *crashes: LostProcess) -> None:
        """Receive a peer's report of crashes."""
        fingerprint = self.harness.ask(100)[0].request.fingerprint
        reports = CrashReports(0.0, (CrashReport(fingerprint, crashes),))
        self.harness.handle(PeerMessageReceived("entry-2", reports))

    def test_crashes_that_peers_saw_count_too(self):
        self.receive(LostProcess(1, 900, 890), LostProcess(2, 890, 880), LostProcess(3, 500, 490))
        self.assertEqual([], self.harness.ask(2))

    def test_a_refusal_tells_what_was_known(self):
        self.crash(2)
        self.receive(LostProcess(1, 900, 890), LostProcess(2, 890, 880), LostProcess(3, 500, 490))
        self.harness.run_until(800.0)
        self.harness.ask(3)
        lines = {line.name: line.fields for line in self.harness.logged}
        self.assertEqual(2, lines["crash_strike"]["strikes"])
        self.assertEqual("entry-2", lines["crash_notice"]["peer"])
        refusal = lines["request"]
        self.assertEqual(("entry-2", 500), (refusal["told_by"], refusal["struck_before_ms"]))

    def test_one_more_attempt_is_allowed_after_the_quarantine(self):
        for key in range(1, 4):
            self.crash(key)
        self.harness.run_until(QUARANTINE_MS + PROBE_SPREAD_MS + 2_000.0)
        self.assertEqual(1, self.crash(10))
        self.assertEqual(0, self.crash(11))
