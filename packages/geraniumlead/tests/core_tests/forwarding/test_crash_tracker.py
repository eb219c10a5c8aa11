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
from geraniumlead.forwarding import PeerMessageReceived, PossiblyExecuted
from geraniumlead.forwarding.crash_tracker import MAX_STRIKES, QUARANTINE_MS
from geraniumlead.peering import CrashNotice

LOST = PossiblyExecuted("reset", is_connection_lost=True)


class CrashingRequestTests(TestCase):
    def setUp(self):
        self.harness = ForwarderHarness()
        configuration = build_configuration(build_route(), build_fan_out(prefix="/all/"))
        shards = [f"shard-{number}" for number in range(4)]
        records = [build_record(f"reader-{number}") for number in range(9)]
        records += [build_record(f"{name}.{number}", name) for name in shards for number in (0, 1)]
        self.harness.handle(build_updates(configuration, *records))

    def crash(self, key: int) -> int:
        """Send the same request once more; return how many upstreams it crashed."""
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
        self.assertEqual(MAX_STRIKES, crashed)
        reply = self.harness.replies[9]
        self.assertEqual((503, QUARANTINE_MS), (reply.status, reply.retry_after_ms))

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
        be refused for a minute because of the power loss.
        """
        attempts = self.harness.ask(1, path="/all/1", target="/all/1")
        for attempt in attempts[:3]:
            self.assertEqual(1, len(self.harness.end(attempt, LOST)))
        self.harness.end(attempts[3], build_answer(b"x" * 16))
        self.assertEqual(4, len(self.harness.ask(2, path="/all/1", target="/all/1")))

    def test_strikes_of_peers_count_too(self):
        fingerprint = self.harness.ask(1)[0].request.fingerprint
        notice = CrashNotice(fingerprint, ("reader-1", "reader-2", "reader-3"))
        self.harness.handle(PeerMessageReceived("entry-2", notice))
        self.assertEqual([], self.harness.ask(2))

    def test_a_refusal_tells_what_was_known(self):
        fingerprint = self.harness.ask(1)[0].request.fingerprint
        self.crash(2)
        notice = CrashNotice(fingerprint, ("reader-1", "reader-2", "reader-3"))
        self.harness.handle(PeerMessageReceived("entry-2", notice))
        self.harness.run_until(500.0)
        self.harness.ask(3)
        lines = {line.name: line.fields for line in self.harness.logged}
        self.assertEqual(2, lines["crash_strike"]["strikes"])
        self.assertEqual("entry-2", lines["crash_notice"]["peer"])
        refusal = lines["request"]
        self.assertEqual(("entry-2", 500), (refusal["told_by"], refusal["struck_before_ms"]))

    def test_one_more_attempt_is_allowed_after_the_quarantine(self):
        for key in range(1, 4):
            self.crash(key)
        self.harness.run_until(QUARANTINE_MS + 1_000.0)
        self.assertEqual(1, self.crash(10))
        self.assertEqual(0, self.crash(11))
